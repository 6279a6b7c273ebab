package routes

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

func tableWithTenants(tenants ...Tenant) *Table {
	return NewTable(Definition{Version: 1, Tenants: tenants, Routes: []Route{
		{Name: "own", Host: "h", Prefix: "/own/", Kind: Safe, Priority: 4},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: Safe, Open: true, Priority: 5},
		{Name: "openjobs", Host: "jobs", Prefix: "/", Kind: Batch, Open: true},
	}})
}

func TestSenderOfReturnsTenantOfKey(t *testing.T) {
	urgent := 1
	table := tableWithTenants(
		Tenant{Name: "a", Keys: []string{"ka", "kb"}, Priority: &urgent}, Tenant{Name: "b", Keys: []string{"kc"}})
	own := table.Match("h", "/own/x")
	for key, want := range map[string]Sender{
		"ka": {Tenant: "a", TenantsConfigured: true, Priority: 1},
		"kb": {Tenant: "a", TenantsConfigured: true, Priority: 1},
		"kc": {Tenant: "b", TenantsConfigured: true, Priority: 4},
	} {
		sender, failure := table.SenderOf(own, Credentials{Key: key}, true)
		assert.Assert(t, failure == nil, key)
		assert.Equal(t, sender, want)
	}
}

func TestInvalidCredentialsAreUnauthorized(t *testing.T) {
	table := tableWithTenants(Tenant{Name: "a", Keys: []string{"ka", ""}})
	for name, credentials := range map[string]Credentials{
		"unknown": {Key: "kz"}, "none": {}, "malformed": {Problem: "two keys"}, "long": {Key: strings.Repeat("k", 8<<10)},
	} {
		_, failure := table.SenderOf(table.Match("h", "/own/x"), credentials, true)
		assert.Assert(t, failure != nil, name)
		assert.Equal(t, failure.Kind, errkind.Unauthorized, name)
		assert.Equal(t, failure.Kind.Response().Execution, errkind.NotExecuted, name)
		if credentials.Key != "" {
			assert.Assert(t, !strings.Contains(failure.Error(), credentials.Key), "the error contains the key")
		}
		_, failure = table.OwnersOf("h", credentials, true)
		assert.Equal(t, errkind.KindOf(failure), errkind.Unauthorized, name)
	}
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	table := tableWithTenants(Tenant{Name: "a", Keys: []string{"ka"}})
	for _, credentials := range []Credentials{{}, {Key: "kz"}, {Key: "ka"}, {Problem: "x"}} {
		sender, failure := table.SenderOf(table.Match("h", "/open/x"), credentials, true)
		assert.Assert(t, failure == nil)
		assert.Equal(t, sender, Sender{TenantsConfigured: true, Priority: 5})
	}
	for _, credentials := range []Credentials{{}, {Key: "kz"}, {Problem: "x"}} {
		owners, failure := table.OwnersOf("jobs", credentials, true)
		assert.Assert(t, failure == nil)
		assert.DeepEqual(t, owners, []string{""})
	}
	// A caller with a key may also access the jobs of its tenant.
	owners, failure := table.OwnersOf("jobs", Credentials{Key: "ka"}, true)
	assert.Assert(t, failure == nil)
	assert.DeepEqual(t, owners, []string{"a", ""})
}

// Guards against NotCurrent for credentials that are invalid whatever the table contains.
func TestUnknownKeyIsNotCurrentIfTableMayBeOld(t *testing.T) {
	table := tableWithTenants(Tenant{Name: "a", Keys: []string{"ka"}})
	own := table.Match("h", "/own/x")
	for _, test := range []struct {
		credentials Credentials
		want        errkind.Kind
	}{
		{Credentials{Key: "kz"}, errkind.NotCurrent}, {Credentials{}, errkind.Unauthorized},
		{Credentials{Problem: "two keys"}, errkind.Unauthorized},
	} {
		_, failure := table.SenderOf(own, test.credentials, false)
		assert.Equal(t, errkind.KindOf(failure), test.want)
		_, failure = table.OwnersOf("h", test.credentials, false)
		assert.Equal(t, errkind.KindOf(failure), test.want)
	}
	_, failure := table.SenderOf(own, Credentials{Key: "ka"}, false)
	assert.Assert(t, failure == nil)
}

func TestNoKeyNeededWithoutTenants(t *testing.T) {
	table := NewTable(Definition{Version: 1, Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Priority: 2}}})
	sender, failure := table.SenderOf(table.Match("h", "/"), Credentials{Key: "anything"}, true)
	assert.Assert(t, failure == nil)
	assert.Equal(t, sender, Sender{Priority: 2})
	owners, failure := table.OwnersOf("h", Credentials{}, true)
	assert.Assert(t, failure == nil)
	assert.DeepEqual(t, owners, []string{""})
	// An empty list of tenants is not the same as none: no key is valid.
	_, failure = NewTable(Definition{Tenants: []Tenant{}}).OwnersOf("h", Credentials{Key: "anything"}, true)
	assert.Equal(t, errkind.KindOf(failure), errkind.Unauthorized)
}

// manyTenants returns tenants with ten keys each and the given total number of keys.
func manyTenants(keys int) []Tenant {
	list := make([]Tenant, keys/10)
	for i := range list {
		list[i].Name = fmt.Sprintf("tenant-%d", i)
		for k := range 10 {
			list[i].Keys = append(list[i].Keys, fmt.Sprintf("key-%08d-%d", i, k))
		}
	}
	return list
}

// BenchmarkFindTenant measures the lookup of one of 100,000 keys.
func BenchmarkFindTenant(b *testing.B) {
	table := tableWithTenants(manyTenants(100_000)...)
	route := table.Match("h", "/own/x")
	credentials := Credentials{Key: "key-00005000-5"}
	b.ReportAllocs()
	for b.Loop() {
		if _, failure := table.SenderOf(route, credentials, true); failure != nil {
			b.Fatal(failure)
		}
	}
}

// BenchmarkChangeTenants measures the construction of a table with 100,000 keys, as for each new configuration.
func BenchmarkChangeTenants(b *testing.B) {
	list := manyTenants(100_000)
	b.ReportAllocs()
	for b.Loop() {
		tableWithTenants(list...)
	}
}
