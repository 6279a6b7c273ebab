package peerload

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// manualClock is a clock that advances only by calls of advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// localTransport serves calls by the handlers of a cluster, without a network, and counts them. It implements
// http.RoundTripper.
type localTransport struct {
	handlers map[string]http.Handler
	// before and after are called around each call, if set.
	before, after func()
	// blocked reports whether the link from one node to another is down, if set.
	blocked func(from, to string) bool

	mu    sync.Mutex
	calls int
	bytes int
}

type countingReader struct {
	io.Reader
	read int
}

func (r *countingReader) Read(into []byte) (int, error) {
	count, err := r.Reader.Read(into)
	r.read += count
	return count, err
}

// sender is the transport of one node. It implements http.RoundTripper.
type sender struct {
	*localTransport
	node string
}

func (s sender) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.blocked != nil && s.blocked(s.node, request.URL.Host) {
		return nil, errBlocked
	}
	return s.localTransport.RoundTrip(request)
}

var errBlocked = errors.New("link down")

func (t *localTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.before != nil {
		t.before()
	}
	body := &countingReader{Reader: request.Body}
	served := httptest.NewRequestWithContext(request.Context(), request.Method, request.URL.Path, body)
	recorder := httptest.NewRecorder()
	t.handlers[request.URL.Host].ServeHTTP(recorder, served)
	if t.after != nil {
		t.after()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	t.bytes += body.read + recorder.Body.Len()
	return recorder.Result(), nil
}

// take returns the calls and bytes since the last call of take.
func (t *localTransport) take() (calls, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	calls, bytes = t.calls, t.bytes
	t.calls, t.bytes = 0, 0
	return calls, bytes
}

// testNode is a node with its fleet.
type testNode struct {
	*Exchange
	id       string
	zone     string
	fleet    *fleet.Fleet
	outcomes map[string]int
	// view is the newest view.
	view  []loadexchange.Entry
	mu    sync.Mutex
	lines *lineCounter
}

func (n *testNode) setPeerLoad(entries []loadexchange.Entry) {
	n.view = entries
	n.fleet.SetPeerLoad(entries)
}

func (n *testNode) observe(kind Kind, outcome Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outcomes[string(kind)+" "+string(outcome)]++
}

func (n *testNode) count(kind Kind, outcome Outcome) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outcomes[string(kind)+" "+string(outcome)]
}

// lineCounter counts log lines by message. It implements zerolog.Hook.
type lineCounter struct {
	mu    sync.Mutex
	lines map[string]int
}

func (c *lineCounter) Run(_ *zerolog.Event, _ zerolog.Level, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines[message]++
}

func (c *lineCounter) count(message string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines[message]
}

// cluster is a set of nodes with one clock and the same list of live nodes and engines.
type cluster struct {
	clock    *manualClock
	interval time.Duration
	live     []loadexchange.Node
	nodes    []*testNode
}

const (
	testService = "s"
	testSlots   = 8
)

func testEngine(number int) fleet.Engine {
	return fleet.Engine{
		ID: fmt.Sprintf("engine-%04d", number), StartMillis: 1700000000000 + int64(number)*1000, Service: testService,
		Zone: "z0", Region: "r", Slots: testSlots,
	}
}

func nodeID(number int) string { return fmt.Sprintf("node-%04d", number) }

func newCluster(interval time.Duration) *cluster {
	return &cluster{clock: &manualClock{now: time.Unix(1000, 0)}, interval: interval}
}

// addNode adds a node that calls others through client.
func (c *cluster) addNode(zone string, engines int, client *http.Client) *testNode {
	n := &testNode{
		id: nodeID(len(c.nodes)), zone: zone, fleet: fleet.New(), outcomes: make(map[string]int),
		lines: &lineCounter{lines: make(map[string]int)},
	}
	for number := range engines {
		n.fleet.Put(testEngine(number))
	}
	n.Exchange = New(Options{
		Node: n.id, Zone: zone, Interval: c.interval, Nodes: func() []loadexchange.Node { return c.live },
		OwnLoad: n.fleet.OwnLoad, SetPeerLoad: n.setPeerLoad, Client: client,
		Logger: zerolog.New(io.Discard).Hook(n.lines), Observe: n.observe, ObserveView: func(int) {},
	})
	n.now = c.clock.read
	c.nodes = append(c.nodes, n)
	c.live = append(c.live, loadexchange.Node{ID: n.id, Zone: zone, Address: n.id})
	return n
}

// newLocalCluster returns a cluster without a network, whose nodes are spread over the zones.
func newLocalCluster(nodes, zones, engines int) (*cluster, *localTransport) {
	c := newCluster(100 * time.Millisecond)
	transport := &localTransport{handlers: make(map[string]http.Handler)}
	for number := range nodes {
		client := &http.Client{Transport: sender{transport, nodeID(number)}}
		n := c.addNode(fmt.Sprint("z", number%zones), engines, client)
		transport.handlers[n.id] = n.Handler()
	}
	return c, transport
}

// newHTTPCluster returns a cluster of one zone whose nodes listen on loopback. wrap, if not nil, wraps the handler of
// each node.
func newHTTPCluster(
	t *testing.T, nodes int, interval time.Duration, wrap func(n *testNode, handler http.Handler) http.Handler,
) *cluster {
	t.Helper()
	c := newCluster(interval)
	for number := range nodes {
		client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
		n := c.addNode("z0", 2, client)
		handler := n.Handler()
		if wrap != nil {
			handler = wrap(n, handler)
		}
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		t.Cleanup(client.CloseIdleConnections)
		c.live[number].Address = server.Listener.Addr().String()
	}
	return c
}

// tick lets all nodes make their call of an interval, in order, and advances the clock to the next one.
func (c *cluster) tick(t *testing.T) {
	t.Helper()
	for _, n := range c.nodes {
		n.tick(t.Context())
		n.swaps.Wait()
	}
	c.clock.advance(c.interval)
}

// exchangeNode returns the exchange node of a zone.
func (c *cluster) exchangeNode(zone string) *testNode {
	chosen, _ := loadexchange.ExchangeNode(c.live, zone, func(loadexchange.Node) bool { return false })
	for _, n := range c.nodes {
		if n.id == chosen.ID {
			return n
		}
	}
	return nil
}

// others returns the nodes but the given one.
func (c *cluster) others(excluded *testNode) []*testNode {
	var others []*testNode
	for _, n := range c.nodes {
		if n != excluded {
			others = append(others, n)
		}
	}
	return others
}

// startRequests starts requests of a node at an engine.
func (n *testNode) startRequests(engine, count int) {
	for range count {
		n.fleet.RequestStarted(engineID(engine))
	}
}

func engineID(number int) incarnation.ID { return testEngine(number).Incarnation() }

// occupied returns the occupied slots of all engines as the node knows them.
func (n *testNode) occupied() int {
	_, occupied := n.fleet.Capacity(testService, n.now())
	return occupied
}

// chosen returns the engine that the node chooses.
func (n *testNode) chosen() string {
	choice, _ := n.fleet.Choose(fleet.Query{Service: testService, Zone: "z0", Region: "r", Now: n.now()})
	return choice.Engine.ID
}
