package hosted

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const authorization = "Authorization"

func bearer(key string) string { return "Bearer " + key }

func TestEnginesReceiveTenantButNotKey(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := addDesk(d, "e1")
	d.tenants = []tenant{{"first", []string{"key-one", "key-two"}}, {"second", []string{"key-three"}}}
	open := safeRoute("/open/")
	open["anonymous"] = true
	d.configure(safeRoute("/a/"), open)
	node := d.start("n1")
	for _, try := range []struct{ id, path, key, claimed, want string }{
		{"id1", "/a/x", "key-one", "", "first"}, {"id2", "/a/x", "key-two", "second", "first"},
		{"id3", "/a/x", "key-three", "first", "second"}, {"id4", "/open/x", "key-one", "first", ""},
	} {
		headers := []string{authorization, bearer(try.key)}
		if try.claimed != "" {
			headers = append(headers, "X-Corkpulley-Tenant", try.claimed)
		}
		got := node.call(http.MethodPost, try.path, try.id, "", headers...)
		assert.Equal(t, got.status, http.StatusOK, got.body)
		runs := engine.Runs()
		run := runs[len(runs)-1]
		assert.Equal(t, run.ID, try.id)
		assert.Equal(t, run.Tenant, try.want)
		assert.Equal(t, run.Credentials, "")
	}
	// Without tenants, credentials are passed through to the engine.
	d.tenants = nil
	d.configure(safeRoute("/b/"))
	testwait.Until(t, "the route to be in force", func() bool {
		return node.call(http.MethodPost, "/b/x", "id5", "", authorization, "Basic x").status == http.StatusOK
	})
	runs := engine.Runs()
	assert.Equal(t, runs[len(runs)-1].Credentials, "Basic x")
}

func TestUnknownKeyIsUnauthorizedAndNothingRuns(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := addDesk(d, "e1")
	d.addEngine(standin.EngineOptions{ID: "l1", Service: "llm", Versions: map[string]int64{model: 1}})
	d.tenants = []tenant{{"first", []string{"key-one"}}}
	d.configure(safeRoute("/a/"), batchRoute("/batch/"))
	node := d.start("n1")
	for name, authorizations := range map[string][]string{
		"none": nil, "unknown": {bearer("key-zero")}, "other scheme": {"Basic key-one"}, "bare": {"key-one"},
		"empty": {"Bearer "}, "two in one": {"Bearer key-one, key-one"}, "long": {bearer(strings.Repeat("k", 8<<10))},
		"two": {bearer("key-one"), bearer("key-one")},
	} {
		for _, call := range []struct{ method, path, body string }{
			{http.MethodPost, "/a/x", ""}, {http.MethodPost, "/batch/x", jobBody(1, "i1")},
			{http.MethodGet, "/lots/j1", ""}, {http.MethodGet, "/items/j1?id=i1", ""}, {http.MethodDelete, "/lots/j1", ""},
		} {
			got := node.callWithAuthorization(call.method, call.path, "j1", call.body, authorizations)
			assert.Equal(t, got.status, http.StatusUnauthorized, "%s %s: %s", name, call.path, got.body)
			assert.Equal(t, got.header.Get("WWW-Authenticate"), "Bearer")
			assert.Assert(t, strings.Contains(got.body, "unauthorized: "), got.body)
		}
	}
	assert.Equal(t, len(engine.Runs())+d.runCount("i1"), 0)
}

// callWithAuthorization is call with any number of Authorization headers.
func (n *testNode) callWithAuthorization(method, path, id, body string, authorizations []string) callResult {
	request, err := http.NewRequest(method, n.callerURL+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Host = host
	request.Header.Set("X-Corkpulley-Attempt-Id", id)
	request.Header[authorization] = authorizations
	return send(request)
}

func TestRevokedKeyIsUnauthorized(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1")
	d.tenants = []tenant{{"first", []string{"key-one", "key-two"}}}
	d.configure(safeRoute("/a/"))
	nodes := []*testNode{d.start("n1"), d.start("n2")}
	status := func(node *testNode, key string) int {
		return node.call(http.MethodPost, "/a/x", "id", "", authorization, bearer(key)).status
	}
	for _, node := range nodes {
		assert.Equal(t, status(node, "key-one"), http.StatusOK)
	}
	// One key is revoked and another added in the same change.
	d.tenants = []tenant{{"first", []string{"key-two", "key-new"}}}
	d.configure(safeRoute("/a/"))
	for _, node := range nodes {
		testwait.Until(t, "the change to be in force", func() bool { return status(node, "key-new") == http.StatusOK })
		assert.Equal(t, status(node, "key-one"), http.StatusUnauthorized)
		assert.Equal(t, status(node, "key-two"), http.StatusOK)
	}
	for _, node := range nodes {
		for _, key := range []string{"key-one", "key-two", "key-new"} {
			assert.Assert(t, !strings.Contains(node.logs.String(), key), "a log line contains a key")
		}
	}
}

func TestJobsAreIsolatedByTenant(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "l1", Service: "llm", Versions: map[string]int64{model: 1}})
	d.tenants = []tenant{{"first", []string{"key-one"}}, {"second", []string{"key-two"}}}
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/batch/j", "j", jobBody(1, "a"), authorization, bearer("key-one")).status,
		http.StatusAccepted)
	// Another tenant may use the same job name.
	assert.Equal(t, node.call(http.MethodPost, "/batch/j", "j", jobBody(1, "b"), authorization, bearer("key-two")).status,
		http.StatusAccepted)
	read := func(id, key string) callResult {
		return node.call(http.MethodGet, "/lots/"+id+"?afterRev=0", "", "", authorization, bearer(key))
	}
	testwait.Until(t, "each tenant to have its own result", func() bool {
		return strings.Contains(read("j", "key-one").body, `"id":"a"`) && strings.Contains(read("j", "key-two").body, `"id":"b"`)
	})
	for _, run := range d.engines[0].Runs() {
		assert.Equal(t, run.Tenant, map[string]string{"a": "first", "b": "second"}[run.ID])
		assert.Equal(t, run.Credentials, "")
	}
	assert.Equal(t, node.call(http.MethodPost, "/batch/k", "k", jobBody(1, "c"), authorization, bearer("key-one")).status,
		http.StatusAccepted)
	assert.Equal(t, read("k", "key-two").status, http.StatusNotFound)
	other := []string{authorization, bearer("key-two")}
	assert.Equal(t, node.call(http.MethodGet, "/items/k?id=c", "", "", other...).status, http.StatusNotFound)
	assert.Equal(t, node.call(http.MethodDelete, "/lots/k", "", "", other...).status, http.StatusNotFound)
	// A new key of the tenant reads the job after the first was revoked.
	d.tenants = []tenant{{"first", []string{"key-next"}}, {"second", []string{"key-two"}}}
	d.configure(batchRoute("/batch/"))
	testwait.Until(t, "the result of the job", func() bool {
		return strings.Contains(read("k", "key-next").body, `"id":"c"`)
	})
	assert.Equal(t, read("k", "key-one").status, http.StatusUnauthorized)
}

// The key may have been added since, so the answer must be retryable; known keys are still served.
func TestUnknownKeyAtStaleConfigurationIsUnavailable(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1")
	d.tenants = []tenant{{"first", []string{"key-one"}}}
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.store.Log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	defer d.clearFaults()
	testwait.Until(t, "the configuration to be stale", func() bool {
		return node.call(http.MethodPost, "/a/x", "id", "", authorization, bearer("key-new")).status ==
			http.StatusServiceUnavailable
	})
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "id", "", authorization, bearer("key-one")).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "id", "").status, http.StatusUnauthorized)
}

// Also holds where other routes of the host require a key.
func TestJobsOfAnonymousRouteAreReadableWithAndWithoutKey(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "l1", Service: "llm", Versions: map[string]int64{model: 1}})
	d.tenants = []tenant{{"first", []string{"key-one"}}}
	open := batchRoute("/open/")
	open["anonymous"] = true
	d.configure(batchRoute("/batch/"), open)
	node := d.start("n1")
	key := []string{authorization, bearer("key-one")}
	assert.Equal(t, node.call(http.MethodPost, "/open/o", "o", jobBody(1, "a"), key...).status, http.StatusAccepted)
	assert.Equal(t, node.call(http.MethodPost, "/batch/c", "c", jobBody(1, "b"), key...).status, http.StatusAccepted)
	for _, headers := range [][]string{nil, key} {
		testwait.Until(t, "the anonymous job to be readable", func() bool {
			return strings.Contains(node.call(http.MethodGet, "/lots/o?afterRev=0", "", "", headers...).body, `"id":"a"`)
		})
	}
	testwait.Until(t, "the tenant's job to be readable", func() bool {
		return strings.Contains(node.call(http.MethodGet, "/lots/c?afterRev=0", "", "", key...).body, `"id":"b"`)
	})
	assert.Equal(t, node.call(http.MethodGet, "/lots/c?afterRev=0", "", "").status, http.StatusNotFound)
	assert.Equal(t, node.call(http.MethodDelete, "/lots/o", "", "").status, http.StatusOK)
}
