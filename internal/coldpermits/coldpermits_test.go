package coldpermits

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/core/slowstart"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const ratePerSecond = 7.9

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

// fakeTransport counts requests and can refuse them or delay their responses.
type fakeTransport struct {
	mu       sync.Mutex
	requests int
	refuse   bool
	hold     chan struct{}
}

func (f *fakeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.requests++
	refuse, hold := f.refuse, f.hold
	f.mu.Unlock()
	if refuse {
		return nil, http.ErrServerClosed
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if hold != nil {
		<-hold
	}
	return response, err
}

func (f *fakeTransport) set(change func(f *fakeTransport)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTransport) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// cluster is a node that can lead and the server for its permit requests.
type cluster struct {
	t       *testing.T
	clock   *manualClock
	granter *Granter
	server  *httptest.Server
}

func newGranter(clock *manualClock) *Granter {
	granter := NewGranter(func(Sender, Outcome) {})
	granter.now = clock.read
	return granter
}

func newCluster(t *testing.T) *cluster {
	clock := &manualClock{now: time.Unix(1000, 0)}
	c := &cluster{t: t, clock: clock, granter: newGranter(clock)}
	c.server = httptest.NewServer(c.granter.Handler(func(service string) (routes.SlowStart, bool) {
		return routes.SlowStart{Period: 3 * time.Second, RatePerSecond: ratePerSecond}, service == "s"
	}))
	t.Cleanup(c.server.Close)
	return c
}

// lead makes the cluster's node lead and advances the clock past the takeover pause.
func (c *cluster) lead() (end func()) {
	end = c.granter.Lead(func() bool { return true })
	c.clock.advance(slowstart.TakeoverPause)
	return end
}

// client returns the client of another node, and its transport.
func (c *cluster) client() (*Client, *fakeTransport) {
	transport := &fakeTransport{}
	client := NewClient(Options{
		Granter: newGranter(c.clock), Leader: func() string { return strings.TrimPrefix(c.server.URL, "http://") },
		Client: &http.Client{Transport: transport}, Logger: zerolog.Nop(), Observe: func(Outcome) {},
		Cold: func(fleet.Engine) (fleet.Coldness, bool) { return fleet.Coldness{RatePerSecond: ratePerSecond}, true },
	})
	client.now = c.clock.read
	return client, transport
}

func coldEngine(id string) fleet.Engine { return fleet.Engine{ID: id, StartMillis: 7, Service: "s"} }

func ask(client *Client, engines ...fleet.Engine) (Permit, Decision) {
	return client.RequestPermit(context.Background(), "s", engines)
}

// sendPermitted requests permits for a period and returns the times at which requests were permitted.
func (c *cluster) sendPermitted(clients []*Client, period time.Duration) []time.Time {
	var sent []time.Time
	for until := c.clock.read().Add(period); c.clock.read().Before(until); c.clock.advance(10 * time.Millisecond) {
		for _, client := range clients {
			if permit, decision := ask(client, coldEngine("e")); decision.Outcome == Granted && permit.Valid() {
				sent = append(sent, c.clock.read())
			}
		}
	}
	return sent
}

// maxPerSecond returns the maximum number of times within one second.
func maxPerSecond(times []time.Time) int {
	most := 0
	for first := range times {
		after := slices.IndexFunc(times[first:], func(at time.Time) bool { return at.Sub(times[first]) >= time.Second })
		if after < 0 {
			after = len(times) - first
		}
		most = max(most, after)
	}
	return most
}

// Guards against a rate that each node gets for itself; the leader's own requests count too.
func TestAllNodesTogetherStayWithinRate(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	var clients []*Client
	for range 5 {
		client, _ := c.client()
		clients = append(clients, client)
	}
	leaderClient, _ := c.client()
	leaderClient.options.Granter = c.granter
	sent := c.sendPermitted(append(clients, leaderClient), 4*time.Second)
	assert.Assert(t, maxPerSecond(sent) <= 8+slowstart.Burst, "%d", maxPerSecond(sent))
	assert.Assert(t, len(sent) >= 4*7, "%d requests in four seconds, below the rate", len(sent))
}

func TestPermitIsGrantedForFirstAvailableEngine(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	client, _ := c.client()
	got := make(map[string]int)
	for range 2 * slowstart.Burst {
		permit, decision := ask(client, coldEngine("a"), coldEngine("b"))
		assert.Equal(t, decision.Outcome, Granted)
		assert.Equal(t, permit.Engine.StartMillis, int64(7))
		got[permit.Engine.Engine]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": slowstart.Burst, "b": slowstart.Burst})
	_, decision := ask(client, coldEngine("a"), coldEngine("b"))
	assert.Equal(t, decision.Outcome, RateLimited)
	assert.Assert(t, decision.Wait > 0 && decision.Wait <= time.Second/7*3/2, "%s", decision.Wait)
}

// Guards against requests by further callers during the backoff.
func TestDeniedNodeSendsNoRequestDuringBackoff(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	client, transport := c.client()
	for range slowstart.Burst + 1 {
		ask(client, coldEngine("e"))
	}
	asked := transport.count()
	_, first := ask(client, coldEngine("e"))
	assert.Equal(t, first.Outcome, Suppressed)
	assert.Equal(t, transport.count(), asked)
	c.clock.advance(first.Wait)
	_, decision := ask(client, coldEngine("e"))
	assert.Equal(t, decision.Outcome, Granted, "a request after the wait is granted")
}

// The other nodes must get the full rate meanwhile.
func TestPartitionedNodeGetsNoPermit(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	partitioned, transport := c.client()
	other, _ := c.client()
	transport.set(func(f *fakeTransport) { f.refuse = true })
	assert.Equal(t, len(c.sendPermitted([]*Client{partitioned}, 2*time.Second)), 0)
	_, decision := ask(partitioned, coldEngine("e"))
	assert.Assert(t, decision.Outcome == Unanswered || decision.Outcome == Suppressed)
	assert.Assert(t, decision.Wait > 0)
	assert.Assert(t, len(c.sendPermitted([]*Client{partitioned, other}, 2*time.Second)) >= 2*7)
}

// Guards against a lost or late response that lets an engine get more requests than its rate.
func TestPermitInLateResponseIsExpired(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	client, transport := c.client()
	hold := make(chan struct{})
	transport.set(func(f *fakeTransport) { f.hold = hold })
	done := make(chan Decision)
	go func() {
		permit, decision := ask(client, coldEngine("e"))
		if decision.Outcome == Granted && permit.Valid() {
			decision.Outcome = 99 // no outcome has this number: it marks a valid permit
		}
		done <- decision
	}()
	testwait.Until(t, "the request is admitted", func() bool {
		return c.granter.Available(coldEngine("e").Incarnation(), fleet.Coldness{RatePerSecond: ratePerSecond}) < slowstart.Burst
	})
	c.clock.advance(slowstart.PermitTTL)
	close(hold)
	// The permit in the late response has expired, since its lifetime starts with the request.
	decision := <-done
	assert.Assert(t, decision.Outcome != 99, "an expired permit was valid")
}

// Guards against a permit that is used after the machine was suspended.
func TestPermitExpiresDuringSuspension(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	client, _ := c.client()
	permit, decision := ask(client, coldEngine("e"))
	assert.Equal(t, decision.Outcome, Granted)
	assert.Assert(t, permit.Valid())
	c.clock.advance(slowstart.PermitTTL)
	assert.Assert(t, !permit.Valid())
}

// Guards against permits of the leader itself that outlast its term, for which the next leader does not wait.
func TestLocalPermitEndsWithTerm(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	granter := newGranter(clock)
	valid := true
	end := granter.Lead(func() bool { return valid })
	clock.advance(slowstart.TakeoverPause)
	permit, _, outcome := granter.Admit(Items, incarnation.ID{Engine: "e"}, fleet.Coldness{RatePerSecond: ratePerSecond})
	assert.Equal(t, outcome, Granted)
	assert.Assert(t, permit.Valid())
	valid = false
	assert.Assert(t, !permit.Valid())
	assert.Assert(t, !granter.Leads())
	assert.Equal(t, granter.Available(incarnation.ID{Engine: "e"}, fleet.Coldness{RatePerSecond: ratePerSecond}), 0)
	_, _, outcome = granter.Admit(Items, incarnation.ID{Engine: "e"}, fleet.Coldness{RatePerSecond: ratePerSecond})
	assert.Equal(t, outcome, NotLeading)
	end()
}

// Guards against exceeding the rate when outstanding permits are used at the last moment while the next leader
// already admits requests.
func TestRateHoldsAcrossLeaderFailure(t *testing.T) {
	c := newCluster(t)
	c.lead()
	var clients []*Client
	for range 3 {
		client, _ := c.client()
		clients = append(clients, client)
	}
	var sent []time.Time
	var outstanding []Permit
	for until := c.clock.read().Add(2 * time.Second); c.clock.read().Before(until); c.clock.advance(10 * time.Millisecond) {
		for _, client := range clients {
			if permit, decision := ask(client, coldEngine("e")); decision.Outcome == Granted {
				outstanding = append(outstanding, permit)
			}
		}
		// Each permit is used at the last moment of its lifetime.
		outstanding = slices.DeleteFunc(outstanding, func(permit Permit) bool {
			c.clock.advance(10 * time.Millisecond)
			last := !permit.Valid()
			c.clock.advance(-10 * time.Millisecond)
			if last && permit.Valid() {
				sent = append(sent, c.clock.read())
			}
			return last
		})
	}
	assert.Assert(t, len(outstanding) > 0, "no permit is outstanding")
	defer c.granter.Lead(func() bool { return true })()
	for range outstanding {
		sent = append(sent, c.clock.read().Add(slowstart.PermitTTL))
	}
	sentBeforeTakeover := len(sent)
	next := c.sendPermitted(clients, 4*time.Second)
	sent = append(sent, next...)
	slices.SortFunc(sent, time.Time.Compare)
	assert.Assert(t, maxPerSecond(sent) <= 8+slowstart.Burst, "%d requests in a second", maxPerSecond(sent))
	assert.Assert(t, len(next) > 0 && sentBeforeTakeover > 0)
}

func TestNotLeadingAndUnknownServiceOutcomes(t *testing.T) {
	c := newCluster(t)
	client, _ := c.client()
	_, decision := ask(client, coldEngine("e"))
	assert.Equal(t, decision.Outcome, NotLeading)
	defer c.lead()()
	other, _ := c.client()
	_, decision = other.RequestPermit(context.Background(), "unknown", []fleet.Engine{coldEngine("e")})
	assert.Equal(t, decision.Outcome, UnknownService)
}

// Guards against an unbounded number of concurrent requests; further ones are denied locally.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	client, transport := c.client()
	hold := make(chan struct{})
	transport.set(func(f *fakeTransport) { f.hold = hold })
	var waiting sync.WaitGroup
	for range maxConcurrentRequests {
		waiting.Go(func() { ask(client, coldEngine("e")) })
	}
	testwait.Until(t, "all slots are in use", func() bool { return transport.count() == maxConcurrentRequests })
	_, decision := ask(client, coldEngine("e"))
	assert.Equal(t, decision.Outcome, Suppressed)
	assert.Equal(t, transport.count(), maxConcurrentRequests)
	close(hold)
	waiting.Wait()
}
