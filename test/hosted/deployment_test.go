// Package hosted tests nodes end to end, over real sockets, against simulated engines and a simulated
// platform log.
package hosted

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	benchprocess "github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/hosted"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
	"github.com/corkpulley/corkpulley/platform"
)

const (
	host  = "desk.example"
	model = "m0"
)

// deployment is a simulated platform with its engines and nodes.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	address string
	engines []*standin.Engine
	// addresses maps engine IDs to addresses.
	addresses map[string]string
	nodes     []*testNode
	config    int64
	// tenants and tenantHomes (home regions by tenant name) go into the configuration; nil leaves them out.
	tenants     []tenant
	tenantHomes map[string][]string
	// zones maps each zone to its region, for the nodes' topology settings.
	zones map[string]string
	// duties is the address of the duties service; empty for none.
	duties string
	// scalable adds scaling settings to the model service.
	scalable bool
	// slowStart holds the slow-start settings of all services; nil for none.
	slowStart map[string]any
	// orderQuiet is the minimum time between orders to one engine from two nodes.
	orderQuiet time.Duration
	// enginesFence sets whether nodes assume that engines check fencing tokens.
	enginesFence bool
	// loadExchange is the interval of the load exchange of the nodes started from now on; zero for none.
	loadExchange time.Duration
	// liveWait is the longest wait of a live request for an engine; zero for none.
	liveWait time.Duration
}

// testNode is a node that runs within the test process.
type testNode struct {
	callerURL   string
	operatorURL string
	cancel      context.CancelFunc
	done        chan struct{}
	logs        *lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	limits := standin.DefaultLimits()
	limits.AppendTime = 0
	d := &deployment{
		t: t, store: standin.NewStore(limits), addresses: make(map[string]string),
		orderQuiet: 200 * time.Millisecond, enginesFence: settings.Default().Hosted.EnginesFence,
	}
	server := httptest.NewServer(d.store)
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	return d
}

// addEngine starts an engine and lists it as ready.
func (d *deployment) addEngine(options standin.EngineOptions) *standin.Engine {
	d.t.Helper()
	if options.Slots == 0 {
		options.Slots = 8
	}
	if options.Events == nil {
		options.Events = func(string) int { return 4 }
	}
	if options.Zone == "" {
		options.Zone = "z1"
	}
	engine := standin.NewEngine(options)
	server := httptest.NewServer(engine)
	d.t.Cleanup(server.Close)
	d.addresses[options.ID] = strings.TrimPrefix(server.URL, "http://")
	d.listEngine(engine)
	d.engines = append(d.engines, engine)
	return engine
}

// listEngine writes the engine's current entry to the engine list.
func (d *deployment) listEngine(engine *standin.Engine) {
	d.store.Log.Put("keyed.servers", engine.ID(), engine.Entry(d.addresses[engine.ID()], "ready"))
}

type route map[string]any

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

func safeRoute(prefix string) route {
	return route{
		"name": "r" + prefix, "host": host, "pathPrefix": prefix, "routeKind": "safe", "service": "desk",
		"timeoutMs": 3000, "targetMs": 150, "maxAttempts": 2,
	}
}

func batchRoute(prefix string) route {
	return route{
		"name": "r" + prefix, "host": host, "pathPrefix": prefix, "routeKind": "rollout", "service": "llm",
		"timeoutMs": 10000, "targetMs": 400, "maxAttempts": 2, "queueTtlS": 60, "resumable": true,
	}
}

// configure publishes a configuration with the given routes under the next version.
func (d *deployment) configure(routes ...route) {
	d.t.Helper()
	d.config += 3
	modelService := map[string]any{
		"name": "llm", "maxConns": 100, "engine": map[string]any{"models": []map[string]any{{"name": model}}},
	}
	if d.scalable {
		modelService["scaling"] = map[string]any{"min": 1, "max": 3, "bootTimeS": 1, "zonePrices": map[string]any{"z1": 1}}
	}
	services := []map[string]any{{"name": "desk", "maxConns": 100}, modelService}
	for _, service := range services {
		maps.Copy(service, d.slowStart)
	}
	configuration := map[string]any{
		"version": d.config, "routes": routes,
		"services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	if d.tenants != nil {
		configuration["tenants"] = d.tenantEntries()
	}
	raw, err := json.Marshal(configuration)
	assert.NilError(d.t, err)
	d.store.Log.Put("keyed.op", "config", raw)
}

// tenantEntries returns the tenants section of the configuration.
func (d *deployment) tenantEntries() []map[string]any {
	entries := []map[string]any{}
	for _, each := range d.tenants {
		entry := map[string]any{"name": each.Name, "apiKeys": each.Keys}
		if homes := d.tenantHomes[each.Name]; homes != nil {
			entry["homeRegions"] = homes
		}
		entries = append(entries, entry)
	}
	return entries
}

// publishVersion publishes a weight version of the model.
func (d *deployment) publishVersion(version int64) {
	d.store.Log.Put("keyed.op", "version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
}

// start starts a node and waits until it is ready.
func (d *deployment) start(id string) *testNode {
	d.t.Helper()
	return d.startWithLog(id, d.address)
}

// startWithLog starts a node that reaches the log at the given address and waits until it is ready.
func (d *deployment) startWithLog(id, log string) *testNode {
	d.t.Helper()
	n := d.startUnready(settings.Node{ID: id, Zone: "z1", Region: "r1"}, log)
	testwait.Until(d.t, "node "+id+" to be ready", func() bool { return n.status("/readyz") == http.StatusOK })
	return n
}

// startNode starts a node with the given settings and log address and waits until it is ready.
func (d *deployment) startNode(node settings.Node, log string) *testNode {
	d.t.Helper()
	n := d.startUnready(node, log)
	testwait.Until(d.t, "node "+node.ID+" to be ready", func() bool { return n.status("/readyz") == http.StatusOK })
	return n
}

// startUnready is startNode without the wait for readiness.
func (d *deployment) startUnready(node settings.Node, log string) *testNode {
	d.t.Helper()
	id := node.ID
	config := settings.Default()
	config.Node, config.Topology.Zones = node, d.zones
	addresses := freeAddresses(d.t, 3)
	config.Listen = settings.Listen{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	config.Hosted.Log = log
	config.Hosted.Lease = settings.Duration(800 * time.Millisecond)
	config.Hosted.OrderQuiet = settings.Duration(d.orderQuiet)
	config.Hosted.EnginesFence = d.enginesFence
	config.Hosted.LoadExchange = settings.Duration(d.loadExchange)
	config.Scheduling.LiveWait = settings.Duration(d.liveWait)
	if d.duties != "" {
		config.Hosted.Duties, config.Hosted.DutyKinds = d.duties, "usage,scaler"
		config.Hosted.UsageWindow, config.Hosted.UsageDue = settings.Duration(usageWindow), settings.Duration(usageDue)
	}
	config.Shutdown.Grace = settings.Duration(3 * time.Second)
	assert.Equal(d.t, len(settings.Check(config)), 0, "%v", settings.Check(config))
	ctx, cancel := context.WithCancel(context.Background())
	started := &testNode{
		callerURL: "http://" + config.Listen.Callers, operatorURL: "http://" + config.Listen.Operators,
		cancel: cancel, done: make(chan struct{}), logs: &lockedBuffer{},
	}
	go func() {
		defer close(started.done)
		if err := hosted.Run(ctx, config, platform.New(log, d.duties), nil, started.logs); err != nil {
			d.t.Errorf("node %s: %v", id, err)
		}
	}()
	d.nodes = append(d.nodes, started)
	d.t.Cleanup(func() {
		cancel()
		<-started.done
		if d.t.Failed() {
			d.t.Logf("logs of %s:\n%s", id, started.logs)
		}
	})
	return started
}

// freeAddresses returns distinct loopback addresses that nothing listens on.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		address, err := benchprocess.FreeAddress()
		assert.NilError(t, err)
		addresses[i] = address
	}
	return addresses
}

func (n *testNode) status(path string) int {
	response, err := http.Get(n.operatorURL + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// callResult is the response or the error of a client's call.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

func (n *testNode) call(method, path, id, body string, headers ...string) callResult {
	request, err := http.NewRequest(method, n.callerURL+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Corkpulley-Attempt-Id", id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return send(request)
}

func send(request *http.Request) callResult {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

// jobBody encodes a batch job.
func jobBody(minVersion int64, ids ...string) string { return encodeJob(minVersion, false, ids) }

// scoredJobBody encodes a batch job whose items each have a scoring call.
func scoredJobBody(minVersion int64, ids ...string) string { return encodeJob(minVersion, true, ids) }

// scoringID returns the ID of an item's scoring call.
func scoringID(item string) string { return "score-" + item }

func encodeJob(minVersion int64, scored bool, ids []string) string {
	var items []map[string]any
	for _, id := range ids {
		items = append(items, map[string]any{
			"id": id, "path": "/batch/x/" + id, "group": "g-" + id, "tokenCount": 100,
			"headers": map[string]string{"X-Corkpulley-Model": model, "X-Corkpulley-Token-Count": "10,90"},
			"body":    base64.StdEncoding.EncodeToString([]byte("body of " + id)),
		})
		if scored {
			items[len(items)-1]["scoringCall"] = map[string]string{
				"id": scoringID(id), "host": host, "path": "/scoring/" + id,
				"body": base64.StdEncoding.EncodeToString([]byte("score " + id)),
			}
		}
	}
	raw, err := json.Marshal(map[string]any{
		"step": 1, "model": model, "minVersion": minVersion, "desiredCount": len(ids), "requests": items,
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}

type results struct {
	Total   int `json:"total"`
	Next    int `json:"nextToken"`
	Results []struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Text     string  `json:"text"`
		Versions []int64 `json:"versions"`
		Score    string  `json:"score"`
	} `json:"results"`
}

// readResults returns a job's results from the given position on and the HTTP status.
func (n *testNode) readResults(id string, from int) (results, int) {
	got := n.call(http.MethodGet, fmt.Sprintf("/lots/%s?afterRev=%d", id, from), "", "")
	var decoded results
	if got.status == http.StatusOK {
		_ = json.Unmarshal([]byte(got.body), &decoded)
	}
	return decoded, got.status
}

// awaitResults waits until a job has at least count results.
func (d *deployment) awaitResults(n *testNode, id string, count int) results {
	d.t.Helper()
	var last results
	testwait.Until(d.t, fmt.Sprintf("%d results of %s", count, id), func() bool {
		last, _ = n.readResults(id, 0)
		return len(last.Results) >= count
	})
	return last
}

// runCount counts the runs of a request over all engines.
func (d *deployment) runCount(id string) int {
	count := 0
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

func (d *deployment) clearFaults() { d.store.Log.SetFault(nil) }

func appendsFail(fault memlog.Fault) func(memlog.Call) memlog.Fault {
	return func(call memlog.Call) memlog.Fault {
		if call.Append {
			return fault
		}
		return memlog.None
	}
}
