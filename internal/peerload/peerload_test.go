package peerload

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// Log messages.
const (
	lineChanged     = "load exchange node changed"
	lineUnreachable = "load exchange node unreachable"
	lineExpired     = "load exchange view expired"
	lineReceived    = "load exchange view received again"
)

// Guards against nodes that know only their own requests, within a zone and between zones.
func TestNodesLearnTheRequestsOfAllOthers(t *testing.T) {
	c, _ := newLocalCluster(12, 3, 4)
	for _, n := range c.nodes {
		n.startRequests(0, 1)
	}
	for range 6 {
		c.tick(t)
	}
	// Each exchange node has swapped with both other zones.
	for range 4 {
		for _, n := range c.nodes {
			n.tick(t.Context())
			n.swaps.Wait()
		}
		c.clock.advance(50 * time.Millisecond)
	}
	for _, n := range c.nodes {
		assert.Equal(t, n.occupied(), len(c.nodes), n.id)
	}
}

// Guards against zones that know nothing of each other because the link between them works in one direction only.
func TestZonesSwapInTheDirectionThatWorks(t *testing.T) {
	for _, blockedZone := range []string{"z0", "z1"} {
		c, transport := newLocalCluster(6, 2, 4)
		zoneOf := make(map[string]string)
		for _, n := range c.nodes {
			zoneOf[n.id] = n.zone
			n.startRequests(0, 1)
		}
		transport.blocked = func(from, to string) bool { return zoneOf[from] == blockedZone && zoneOf[to] != blockedZone }
		known := make(map[string]int)
		for range 12 {
			c.tick(t)
			for _, n := range c.nodes {
				known[n.id] = max(known[n.id], n.occupied())
			}
		}
		for _, n := range c.nodes {
			assert.Equal(t, known[n.id], len(c.nodes), "%s, blocked from %s", n.id, blockedZone)
		}
	}
}

// Guards against load data that is sent without need.
func TestNothingIsSentWithoutRequests(t *testing.T) {
	c, transport := newLocalCluster(12, 3, 4)
	for range 10 {
		c.tick(t)
	}
	calls, _ := transport.take()
	assert.Equal(t, calls, 0)
	n := c.others(c.exchangeNode("z0"))[0]
	n.startRequests(0, 1)
	c.tick(t)
	calls, _ = transport.take()
	assert.Assert(t, calls > 0)
	n.fleet.RequestEnded(engineID(0), fleet.Outcome{At: n.now()})
	// One call tells of the end; after the TTL the exchange nodes have nothing left to swap.
	for range 10 {
		c.tick(t)
	}
	transport.take()
	for range 10 {
		c.tick(t)
	}
	calls, _ = transport.take()
	assert.Equal(t, calls, 0)
}

// Guards against requests that others count for up to the TTL after their end.
func TestEndOfTheLastRequestIsSent(t *testing.T) {
	c, _ := newLocalCluster(3, 1, 4)
	for _, n := range c.nodes {
		n.startRequests(0, 2)
	}
	c.tick(t)
	c.tick(t)
	assert.Equal(t, c.nodes[0].occupied(), 6)
	assert.Equal(t, len(c.nodes[0].view), 1)
	c.nodes[1].fleet.RequestEnded(engineID(0), fleet.Outcome{At: c.clock.read()})
	c.nodes[1].fleet.RequestEnded(engineID(0), fleet.Outcome{At: c.clock.read()})
	c.tick(t)
	c.tick(t)
	assert.Equal(t, c.nodes[0].occupied(), 4)
}

// Guards against entries that look younger than they are after a slow call: the request waits 200 ms on its way, and
// the response 250 ms.
func TestTimeOnTheWayCountsAsAge(t *testing.T) {
	c, transport := newLocalCluster(2, 1, 4)
	exchangeNode := c.exchangeNode("z0")
	n := c.others(exchangeNode)[0]
	exchangeNode.startRequests(0, 3)
	exchangeNode.tick(t.Context())
	n.startRequests(0, 1)
	transport.before = func() { c.clock.advance(200 * time.Millisecond) }
	transport.after = func() { c.clock.advance(250 * time.Millisecond) }
	n.tick(t.Context())
	transport.before, transport.after = nil, nil
	assert.Equal(t, n.occupied(), 4, "counted 450 ms ago")
	// Of these, one is n's, which was counted 450 ms ago and arrived 250 ms ago with an age of 200 ms.
	view := exchangeNode.state.View("", []string{testService}, c.clock.read())
	assert.Equal(t, len(view), 1)
	assert.Equal(t, view[0].InFlight, 4)
	c.clock.advance(50 * time.Millisecond)
	assert.Equal(t, n.occupied(), 1, "counted 500 ms ago")
	assert.Equal(t, len(exchangeNode.state.View("", []string{testService}, c.clock.read())), 0)
}

// Guards against more than one call of a node per interval, and against swaps of two zones more often than every four
// intervals.
func TestCallsPerIntervalAreBounded(t *testing.T) {
	c, transport := newLocalCluster(21, 7, 4)
	for _, n := range c.nodes {
		n.startRequests(0, 1)
	}
	swaps := 0
	const ticks = 24
	for range ticks {
		for _, n := range c.nodes {
			n.tick(t.Context())
			n.swaps.Wait()
			calls, _ := transport.take()
			assert.Assert(t, calls <= 1, "%d calls of %s", calls, n.id)
			if n == c.exchangeNode(n.zone) {
				swaps += calls
			}
		}
		c.clock.advance(c.interval)
	}
	const pairs = 7 * 6 / 2
	assert.Assert(t, swaps <= pairs*(ticks/swapTicks+1), "%d swaps", swaps)
	assert.Assert(t, swaps >= pairs, "%d swaps", swaps)
}

// Guards against a second call in an interval by a node that others take for the exchange node, because their list of
// nodes differs, although the node itself calls another one.
func TestNodeThatCallsTheExchangeNodeStartsNoSwap(t *testing.T) {
	c, transport := newLocalCluster(6, 2, 4)
	n := c.others(c.exchangeNode("z0"))[0]
	assert.Equal(t, n.zone, "z0")
	n.startRequests(0, 1)
	message, err := loadexchange.NewMessage(
		loadexchange.Message{Node: "x"},
		[]loadexchange.Entry{{Engine: engineID(0), Service: testService, InFlight: 5, CountedAt: n.now()}}, n.now(),
	)
	assert.NilError(t, err)
	n.serve(t.Context(), message, n.now())
	n.tick(t.Context())
	n.swaps.Wait()
	calls, _ := transport.take()
	assert.Equal(t, calls, 1)
}

// Guards against traffic that grows faster than the number of nodes.
func TestCallsAndBytesGrowLinearly(t *testing.T) {
	const zones, engines, ticks = 5, 40, swapTicks
	measure := func(nodes int) (callsPerNode, bytesPerNode float64) {
		c, transport := newLocalCluster(nodes, zones, engines)
		for number, n := range c.nodes {
			for engine := range 8 {
				n.startRequests((number*7+engine)%engines, 1)
			}
		}
		// The first interval fills the exchange nodes.
		c.tick(t)
		transport.take()
		for range ticks {
			c.tick(t)
		}
		calls, bytes := transport.take()
		return float64(calls) / float64(nodes*ticks), float64(bytes) / float64(nodes*ticks)
	}
	for _, nodes := range []int{20, 100, 500} {
		calls, bytes := measure(nodes)
		twiceCalls, twiceBytes := measure(2 * nodes)
		t.Logf("%d nodes: %.2f calls and %.0f bytes per node and interval; %d nodes: %.2f and %.0f",
			nodes, calls, bytes, 2*nodes, twiceCalls, twiceBytes)
		assert.Assert(t, calls <= 1 && twiceCalls <= 1)
		// The share of the exchange nodes, which make no calls to themselves, falls with the number of nodes.
		assert.Assert(t, twiceCalls <= 1.2*calls)
		assert.Assert(t, twiceBytes <= 1.5*bytes)
		assert.Assert(t, twiceBytes <= 2*loadexchange.MaxBytes)
	}
}

// Guards against an exchange that ends with its exchange node, and against choices by what that node said before.
func TestNextNodeTakesOverFromAKilledExchangeNode(t *testing.T) {
	servers := make(map[*testNode]*httptest.Server)
	c := newHTTPCluster(t, 4, 2*time.Second, nil)
	killed := c.exchangeNode("z0")
	for number, n := range c.nodes {
		if n == killed {
			server := httptest.NewServer(n.Handler())
			servers[n] = server
			c.live[number].Address = server.Listener.Addr().String()
		}
	}
	others := c.others(killed)
	for _, n := range c.nodes {
		n.startRequests(0, 2)
	}
	exchangeAll := func(nodes []*testNode) {
		for _, n := range nodes {
			n.tick(t.Context())
		}
		c.clock.advance(100 * time.Millisecond)
	}
	exchangeAll(c.nodes)
	exchangeAll(c.nodes)
	assert.Equal(t, others[0].occupied(), 8)
	servers[killed].CloseClientConnections()
	servers[killed].Close()
	exchangeAll(others)
	for _, n := range others {
		assert.Equal(t, n.count(NodeCall, Unanswered), 1)
		assert.Equal(t, n.lines.count(lineUnreachable), 1)
	}
	exchangeAll(others)
	exchangeAll(others)
	for _, n := range others {
		assert.Equal(t, n.occupied(), 6, "the requests of the killed node have gone with its state")
		assert.Equal(t, n.count(NodeCall, Unanswered), 1, "the killed node is skipped")
		assert.Equal(t, n.lines.count(lineChanged), 2, "to the killed node, and to the next one")
	}
}

// loneNode returns a cluster of two nodes whose exchange node serves calls by handler, and the other node, which has
// three requests at engine 0.
func loneNode(t *testing.T, interval time.Duration, handler func(w http.ResponseWriter, r *http.Request, serve http.Handler)) (*cluster, *testNode) {
	t.Helper()
	c := newHTTPCluster(t, 2, interval, func(_ *testNode, serve http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(w, r, serve) })
	})
	n := c.others(c.exchangeNode("z0"))[0]
	n.startRequests(0, 3)
	return c, n
}

// assertChoosesAsWithoutExchange checks the occupancy and the choice of a node that has three requests at engine 0 and
// no view.
func assertChoosesAsWithoutExchange(t *testing.T, n *testNode) {
	t.Helper()
	assert.Equal(t, n.occupied(), 3)
	assert.Equal(t, n.chosen(), testEngine(1).ID)
}

// Guards against a node that waits for an answer that never comes, or stops sending requests.
func TestMissingAnswerEndsTheCallAfterHalfTheInterval(t *testing.T) {
	release := make(chan struct{})
	c, n := loneNode(t, 200*time.Millisecond, func(_ http.ResponseWriter, _ *http.Request, _ http.Handler) { <-release })
	// Deferred calls run before the cleanups, which close the server.
	defer close(release)
	began := time.Now()
	n.tick(t.Context())
	took := time.Since(began)
	assert.Assert(t, took >= 100*time.Millisecond && took < 2*time.Second, "%s", took)
	assert.Equal(t, n.count(NodeCall, Unanswered), 1)
	assertChoosesAsWithoutExchange(t, n)
	for range 5 {
		n.tick(t.Context())
	}
	assert.Equal(t, n.count(NodeCall, Unanswered), 1, "the exchange node is skipped")
	assert.Assert(t, n.paused.Active(c.exchangeNode("z0").id))
	assert.Equal(t, n.lines.count(lineUnreachable), 1)
	assertChoosesAsWithoutExchange(t, n)
}

// Guards against an upgrade during which nodes of earlier builds answer 404: the next node is asked, and without one
// the node chooses as before.
func TestNodeOfAnEarlierBuildCountsAsNoAnswer(t *testing.T) {
	c, n := loneNode(t, 2*time.Second, func(w http.ResponseWriter, r *http.Request, _ http.Handler) { http.NotFound(w, r) })
	for range 5 {
		n.tick(t.Context())
		assertChoosesAsWithoutExchange(t, n)
		c.clock.advance(100 * time.Millisecond)
	}
	assert.Equal(t, n.count(NodeCall, Unanswered), 1)
	// The pause ends and the node still answers 404: no further line.
	n.paused.Start(c.exchangeNode("z0").id, 0)
	n.tick(t.Context())
	assert.Equal(t, n.count(NodeCall, Unanswered), 2)
	assert.Equal(t, n.lines.count(lineUnreachable), 1)
}

// Guards against a node that relies on a view when its messages arrive but the answers don't. Others see its requests.
func TestViewFromOneDirectionOnly(t *testing.T) {
	c, n := loneNode(t, 2*time.Second, func(w http.ResponseWriter, r *http.Request, serve http.Handler) {
		serve.ServeHTTP(httptest.NewRecorder(), r)
		w.WriteHeader(http.StatusBadGateway)
	})
	exchangeNode := c.exchangeNode("z0")
	exchangeNode.startRequests(1, 1)
	n.tick(t.Context())
	exchangeNode.tick(t.Context())
	assert.Equal(t, exchangeNode.occupied(), 4, "the requests of both nodes")
	assertChoosesAsWithoutExchange(t, n)
	c.clock.advance(loadexchange.TTL)
	assert.Equal(t, exchangeNode.occupied(), 1, "the other node's message has expired")
}

// Guards against choices by a view that is no longer renewed, and against more than one line for it.
func TestViewExpiresWithoutAnswers(t *testing.T) {
	answering := true
	c, n := loneNode(t, 2*time.Second, func(w http.ResponseWriter, r *http.Request, serve http.Handler) {
		if !answering {
			http.NotFound(w, r)
			return
		}
		serve.ServeHTTP(w, r)
	})
	exchangeNode := c.exchangeNode("z0")
	exchangeNode.startRequests(1, 6)
	exchangeNode.tick(t.Context())
	n.tick(t.Context())
	assert.Equal(t, n.occupied(), 9)
	assert.Equal(t, n.chosen(), testEngine(0).ID, "the other node fills engine 1")
	answering = false
	for range 10 {
		// The only other node fails, so the node merges its own data, which is a view without others.
		n.tick(t.Context())
		c.clock.advance(100 * time.Millisecond)
	}
	assertChoosesAsWithoutExchange(t, n)
}

// Guards against a view that stays in use, or an expiry that is not logged, when no node can be asked.
func TestExpiredViewIsLoggedOnce(t *testing.T) {
	c, transport := newLocalCluster(2, 1, 2)
	exchangeNode := c.exchangeNode("z0")
	n := c.others(exchangeNode)[0]
	exchangeNode.startRequests(1, 6)
	n.startRequests(0, 3)
	exchangeNode.tick(t.Context())
	n.tick(t.Context())
	assert.Equal(t, n.occupied(), 9)
	live := c.live
	// The node's own entry is missing as well, so that it can't merge its own data.
	c.live = nil
	for range 10 {
		c.clock.advance(c.interval)
		n.tick(t.Context())
	}
	assertChoosesAsWithoutExchange(t, n)
	assert.Equal(t, len(n.view), 0, "the view must not depend on the fleet's clock to expire")
	assert.Equal(t, n.lines.count(lineExpired), 1)
	c.live = live
	exchangeNode.tick(t.Context())
	n.tick(t.Context())
	assert.Equal(t, n.occupied(), 9)
	assert.Equal(t, n.lines.count(lineReceived), 1)
	calls, _ := transport.take()
	assert.Equal(t, calls, 2)
}

// Guards against use of messages whose sender gave up, that name this zone as another one, or are malformed.
func TestUnusableMessagesAreRejected(t *testing.T) {
	c, _ := newLocalCluster(1, 1, 4)
	n := c.nodes[0]
	valid, err := loadexchange.NewMessage(
		loadexchange.Message{Node: "x"},
		[]loadexchange.Entry{{Engine: engineID(0), Service: testService, InFlight: 5, CountedAt: n.now()}}, n.now(),
	)
	assert.NilError(t, err)
	ownZone, malformed, anonymous := valid, valid, valid
	ownZone.Zone, malformed.InFlight, anonymous.Node = "z0", nil, ""
	for _, message := range []loadexchange.Message{ownZone, malformed, anonymous} {
		response := n.serve(t.Context(), message, n.now())
		assert.Equal(t, len(response.Engines), 0)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	n.serve(canceled, valid, n.now())
	assert.Equal(t, n.count(NodeCall, Rejected)+n.count(ZoneCall, Rejected), 4)
	assert.Assert(t, !n.state.HasNodes(n.now()))
	n.serve(t.Context(), valid, n.now())
	assert.Assert(t, n.state.HasNodes(n.now()))
}
