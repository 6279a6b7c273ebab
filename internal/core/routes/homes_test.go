package routes

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

var (
	north     = homes.Of([]string{"north"})
	south     = homes.Of([]string{"south"})
	northWest = homes.Of([]string{"north", "west"})
)

// tableWithHomes returns a table of routes and tenants with and without homes.
func tableWithHomes() *Table {
	return NewTable(Definition{
		Version: 1,
		Routes: []Route{
			{Name: "bound", Host: "a.example", Prefix: "/bound/", Kind: Batch, Homes: []string{"west", "north"}},
			{Name: "free", Host: "a.example", Prefix: "/free/", Kind: Batch},
			{Name: "live", Host: "b.example", Prefix: "/", Kind: Safe, Homes: []string{"east"}},
		},
		Tenants: []Tenant{
			{Name: "plain", Keys: []string{"k1"}},
			{Name: "northern", Keys: []string{"k2"}, Homes: []string{"north"}},
			{Name: "southern", Keys: []string{"k3"}, Homes: []string{"south"}},
		},
	})
}

func TestHomesOfIntersectsRouteAndTenant(t *testing.T) {
	table := tableWithHomes()
	for _, test := range []struct {
		path, key, tenant string
		wanted            homes.Set
	}{
		{"/free/x", "k1", "plain", homes.Set{}},
		{"/free/x", "k2", "northern", north},
		{"/bound/x", "k1", "plain", northWest},
		{"/bound/x", "k2", "northern", north},
		{"/bound/x", "k3", "southern", north.Intersect(south)},
	} {
		sender, failure := table.SenderOf(table.Match("a.example", test.path), Credentials{Key: test.key}, true)
		assert.Assert(t, failure == nil)
		assert.Equal(t, sender.Homes, test.wanted, "%s of %s", test.path, test.tenant)
		set, known := table.HomesOf("a.example", test.path, test.tenant)
		assert.Assert(t, known)
		assert.Equal(t, set, test.wanted, "%s of %s", test.path, test.tenant)
	}
}

func TestHomesOfUnknownRouteOrTenant(t *testing.T) {
	table := tableWithHomes()
	set, known := table.HomesOf("a.example", "/gone/x", "northern")
	assert.Assert(t, !known)
	assert.Equal(t, set, north)
	_, known = table.HomesOf("a.example", "/free/x", "gone")
	assert.Assert(t, !known)
	withoutTenants := NewTable(Definition{Routes: []Route{{Name: "r", Host: "a", Prefix: "/"}}})
	_, known = withoutTenants.HomesOf("a", "/", "")
	assert.Assert(t, known)
	_, known = withoutTenants.HomesOf("a", "/", "northern")
	assert.Assert(t, !known, "an unknown tenant may have homes")
}

func TestBatchHomesAreDistinctAndNotEmpty(t *testing.T) {
	sets := make(map[homes.Set]bool)
	for _, set := range tableWithHomes().BatchHomes() {
		assert.Assert(t, !sets[set], "%s is listed twice", set)
		sets[set] = true
	}
	assert.Assert(t, maps.Equal(sets, map[homes.Set]bool{north: true, south: true, northWest: true}), "%v", sets)
	assert.Equal(t, len(NewTable(Definition{Routes: []Route{{Host: "a", Prefix: "/", Kind: Batch}}}).BatchHomes()), 0)
}

func TestQueryHomesIntersectAllBatchRoutesOfHost(t *testing.T) {
	table := tableWithHomes()
	assert.Equal(t, table.QueryHomes("a.example", "plain"), northWest)
	assert.Equal(t, table.QueryHomes("a.example", "northern"), north)
	assert.Assert(t, table.QueryHomes("a.example", "southern").IsEmpty())
	assert.Equal(t, table.QueryHomes("b.example", "plain"), homes.Set{}, "the host has no batch route")
	assert.DeepEqual(t, table.HomeRegions(), []string{"east", "north", "south", "west"})
}
