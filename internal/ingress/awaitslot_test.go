package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/sendgate"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// heldEngines answers each request once the test lets it.
type heldEngines struct {
	mu   sync.Mutex
	sent []string
	// proceed releases one request for each value; closed for all.
	proceed chan struct{}
	// answer returns the answer to the request with the given ID; nil for success.
	answer func(engine fleet.Engine, id string) *Answer
}

func (e *heldEngines) Send(ctx context.Context, engine fleet.Engine, call Call) (*Answer, error) {
	e.mu.Lock()
	e.sent = append(e.sent, call.Request.ID)
	answer := (*Answer)(nil)
	if e.answer != nil {
		answer = e.answer(engine, call.Request.ID)
	}
	e.mu.Unlock()
	if answer == nil {
		answer = &Answer{Status: http.StatusOK}
		select {
		case <-e.proceed:
		case <-ctx.Done():
			return nil, &SendError{MayHaveRun: true, Cause: ctx.Err()}
		}
	}
	answer.Header, answer.Body = http.Header{}, io.NopCloser(strings.NewReader(""))
	return answer, nil
}

func (e *heldEngines) sentIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.sent)
}

// queueDeployment is a relay with a queue in front of one engine with one slot.
type queueDeployment struct {
	*Relay
	t         *testing.T
	engines   *heldEngines
	mu        sync.Mutex
	table     *routes.Table
	decisions []QueueDecision
	known     bool
	// ahead is the time by which the relay's clock is ahead of the others.
	ahead   time.Duration
	running sync.WaitGroup
}

// queueTable returns a table with one route. It allows one attempt, whose time is only bounded by the request's, so
// that the first request holds the slot until the test lets it go.
func queueTable(version int64, tenants []routes.Tenant, change func(route *routes.Route)) *routes.Table {
	route := routes.Route{
		Name: "r", Host: "h", Prefix: "/x/", Kind: routes.Safe, Parts: []routes.Part{{Service: "s", Weight: 1}},
		Timeout: 2 * time.Second, MaxAttempts: 1, Priority: 5,
	}
	if change != nil {
		change(&route)
	}
	return routes.NewTable(routes.Definition{Version: version, Routes: []routes.Route{route}, Tenants: tenants})
}

var twoTenants = []routes.Tenant{{Name: "a", Keys: []string{"key-a"}}, {Name: "b", Keys: []string{"key-b"}}}

func deployQueue(t *testing.T, limits livequeue.Limits) *queueDeployment {
	d := &queueDeployment{
		t: t, engines: &heldEngines{proceed: make(chan struct{}, 100)}, table: queueTable(1, twoTenants, nil), known: true,
	}
	engineFleet := fleet.New()
	engineFleet.Put(fleet.Engine{ID: "e", Service: "s", Slots: 1, Region: "north"})
	d.Relay = New(Options{
		Engines: d.engines, Fleet: engineFleet, Guard: noCrashes{}, ExemptGuard: noCrashes{}, Current: func() bool { return true },
		Table:   func() *routes.Table { d.mu.Lock(); defer d.mu.Unlock(); return d.table },
		OnStart: func(string, time.Time) {}, Logger: zerolog.Nop(), Observe: func(string, string, time.Duration) {},
		LiveQueue: limits,
		Gate: sendgate.New(sendgate.Options{Fleet: engineFleet, EnginesKnown: func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.known
		}}),
		OnQueueDecision: func(decision QueueDecision, _ time.Duration) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.decisions = append(d.decisions, decision)
		},
	})
	d.Relay.now = func() time.Time { d.mu.Lock(); defer d.mu.Unlock(); return time.Now().Add(d.ahead) }
	return d
}

func (d *queueDeployment) configure(table *routes.Table) {
	d.mu.Lock()
	d.table = table
	d.mu.Unlock()
	d.ConfigurationChanged()
}

func (d *queueDeployment) setKnown(known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = known
}

func (d *queueDeployment) decided() []QueueDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.decisions)
}

type queueReply struct {
	failure *errkind.Error
	done    chan struct{}
}

// serve begins to serve a request with a tenant's key.
func (d *queueDeployment) serve(ctx context.Context, id, key string, budget time.Duration) *queueReply {
	reply := &queueReply{done: make(chan struct{})}
	d.running.Go(func() {
		defer close(reply.done)
		reply.failure = d.Serve(httptest.NewRecorder(), ctx, &Request{
			ID: id, Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(), Budget: budget,
			Credentials: routes.Credentials{Key: key}, Body: []byte("body"),
		})
	})
	return reply
}

// send sends a request with a tenant's key and returns once it is at the engine, waits, or has ended.
func (d *queueDeployment) send(ctx context.Context, id, key string, budget time.Duration) *queueReply {
	waitingBefore, sentBefore := d.waiting(), len(d.engines.sentIDs())
	reply := d.serve(ctx, id, key, budget)
	testwait.Until(d.t, "the request to be sent, to wait or to end", func() bool {
		select {
		case <-reply.done:
			return true
		default:
			return d.waiting() > waitingBefore || len(d.engines.sentIDs()) > sentBefore
		}
	})
	return reply
}

func (d *queueDeployment) waiting() int {
	d.live.mu.Lock()
	defer d.live.mu.Unlock()
	requests, _ := d.live.queue.Waiting()
	return requests
}

// end lets the engines answer all requests and waits for their ends.
func (d *queueDeployment) end() {
	close(d.engines.proceed)
	d.running.Wait()
}

func (r *queueReply) wait(t *testing.T) *errkind.Error {
	t.Helper()
	select {
	case <-r.done:
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not end")
	}
	return r.failure
}

var waitsLong = livequeue.Limits{MaxWait: 10 * time.Second, Requests: 100, Bytes: 1 << 20}

// expectSlowResponses makes the mean response time some seconds, so that only an event wakes a waiting request soon,
// and not its timer.
func (d *queueDeployment) expectSlowResponses() {
	d.configure(queueTable(2, twoTenants, func(route *routes.Route) { route.Timeout = 30 * time.Second }))
	id := incarnation.ID{Engine: "e"}
	d.Relay.options.Fleet.RequestStarted(id)
	d.Relay.options.Fleet.RequestEnded(id, fleet.Outcome{At: time.Now(), Latency: 20 * time.Second})
}

// Guards against a waiting request that is not sent once a request of this node has ended.
func TestWaitingRequestIsSentWhenASlotComesFree(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.expectSlowResponses()
	first := d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	freed := time.Now()
	d.engines.proceed <- struct{}{}
	assert.Assert(t, first.wait(t) == nil)
	testwait.Until(t, "the waiting request to be sent", func() bool { return len(d.engines.sentIDs()) == 2 })
	assert.Assert(t, time.Since(freed) < time.Second)
	d.engines.proceed <- struct{}{}
	assert.Assert(t, second.wait(t) == nil)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1", "2"})
	assert.DeepEqual(t, d.decided(), []QueueDecision{QueueWaited})
	d.end()
}

// Guards against a change of behaviour without the setting: the second request goes out at once.
func TestNothingWaitsWithoutTheSetting(t *testing.T) {
	d := deployQueue(t, livequeue.Limits{Requests: 100, Bytes: 100})
	assert.Assert(t, d.live == nil)
	d.engines.answer = func(fleet.Engine, string) *Answer {
		return &Answer{Status: 503, NotExecuted: true, Load: &fleet.Load{Running: 1}}
	}
	_, failure := d.Call(t.Context(), &Request{
		ID: "1", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
		Credentials: routes.Credentials{Key: "key-a"},
	})
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.Equal(t, failure.Delay(), refusalRetryAfter)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
}

// Guards against a refused request that was sent to an engine: after its wait, for its deadline, and in a full queue.
func TestRefusedRequestsAreSentNowhere(t *testing.T) {
	for name, test := range map[string]struct {
		limits   livequeue.Limits
		budget   time.Duration
		kind     errkind.Kind
		decision QueueDecision
	}{
		"wait over": {
			livequeue.Limits{MaxWait: 80 * time.Millisecond, Requests: 9, Bytes: 99}, 0, errkind.QueueTimeout, QueueRefused,
		},
		"deadline":   {waitsLong, 60 * time.Millisecond, errkind.NoCapacity, QueueHopeless},
		"queue full": {livequeue.Limits{MaxWait: time.Second, Requests: 0, Bytes: 99}, 0, errkind.QueueFull, QueueRefused},
		"bytes":      {livequeue.Limits{MaxWait: time.Second, Requests: 9, Bytes: 3}, 0, errkind.QueueFull, QueueRefused},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployQueue(t, test.limits)
			d.send(t.Context(), "1", "key-a", 0)
			failure := d.send(t.Context(), "2", "key-b", test.budget).wait(t)
			assert.Equal(t, failure.Kind, test.kind)
			assert.Equal(t, failure.Kind.Response().Execution, errkind.NotExecuted)
			assert.Assert(t, failure.Delay() >= livequeue.MinRetryAfter && failure.Delay() <= livequeue.MaxRetryAfter)
			assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
			assert.DeepEqual(t, d.decided(), []QueueDecision{test.decision})
			d.end()
			assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
		})
	}
}

// Guards against a request that is evicted for another tenant and still sent.
func TestEvictedRequestIsSentNowhere(t *testing.T) {
	d := deployQueue(t, livequeue.Limits{MaxWait: 10 * time.Second, Requests: 2, Bytes: 1 << 20})
	d.send(t.Context(), "1", "key-a", 0)
	older, newer := d.send(t.Context(), "2", "key-a", 0), d.send(t.Context(), "3", "key-a", 0)
	other := make(chan *errkind.Error, 1)
	d.running.Go(func() {
		other <- d.Serve(httptest.NewRecorder(), t.Context(), &Request{
			ID: "4", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
			Credentials: routes.Credentials{Key: "key-b"},
		})
	})
	assert.Equal(t, newer.wait(t).Kind, errkind.QueueFull)
	d.end()
	assert.Assert(t, older.failure == nil && <-other == nil)
	assert.Assert(t, !slices.Contains(d.engines.sentIDs(), "3"))
}

// Guards against a decision whose line lacks what determined it, or that is logged more than once.
func TestEachDecisionIsLoggedOnceWithItsBasis(t *testing.T) {
	d := deployQueue(t, waitsLong)
	var logs bytes.Buffer
	d.Relay.options.Logger = zerolog.New(&lockedWriter{writer: &logs})
	d.send(t.Context(), "1", "key-a", 0)
	waits := d.send(t.Context(), "2", "key-b", 0)
	d.send(t.Context(), "3", "key-b", 60*time.Millisecond).wait(t)
	d.end()
	assert.Assert(t, waits.wait(t) == nil)
	for id, wanted := range map[string]string{
		"2": `"service":"s","tenant":"b","priority":5,"decision":"waited","reason":"none"`,
		"3": `"service":"s","tenant":"b","priority":5,"decision":"hopeless","reason":"hopeless"`,
	} {
		var found []string
		for line := range strings.Lines(logs.String()) {
			if strings.Contains(line, `"id":"`+id+`"`) && strings.Contains(line, `"message":"live request `) {
				found = append(found, line)
			}
		}
		assert.Equal(t, len(found), 1, "%s: %v", id, found)
		assert.Assert(t, strings.Contains(found[0], wanted), found[0])
		for _, field := range []string{
			"waited_ms", "expected_ms", "response_ms", "remaining_ms", "ahead", "waiting", "slots", "occupied", "own",
		} {
			assert.Assert(t, strings.Contains(found[0], `"`+field+`":`), found[0])
		}
	}
}

// lockedWriter serializes writes.
type lockedWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

func (w *lockedWriter) Write(content []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writer.Write(content)
}

// Guards against places that callers keep after they left, and requests that are sent for nobody.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.send(t.Context(), "1", "key-a", 0)
	ctx, leave := context.WithCancel(t.Context())
	second := d.send(ctx, "2", "key-a", 0)
	leave()
	assert.Equal(t, second.wait(t).Kind, errkind.Canceled)
	assert.Equal(t, d.waiting(), 0)
	d.end()
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	assert.DeepEqual(t, d.decided(), []QueueDecision{QueueCallerLeft})
}

// Guards against requests that are sent although the configuration that came into force while they waited forbids it.
func TestConfigurationChangesWhileARequestWaits(t *testing.T) {
	for name, test := range map[string]struct {
		table *routes.Table
		kind  errkind.Kind
	}{
		"route gone": {
			queueTable(2, twoTenants, func(route *routes.Route) { route.Prefix = "/y/" }), errkind.UnknownService,
		},
		"batch route": {
			queueTable(2, twoTenants, func(route *routes.Route) { route.Kind = routes.Batch }), errkind.NotReady,
		},
		"key revoked": {queueTable(2, twoTenants[:1], nil), errkind.Unauthorized},
		"other homes": {
			queueTable(2, twoTenants, func(route *routes.Route) { route.Homes = []string{"south"} }), errkind.OutsideHomes,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployQueue(t, waitsLong)
			d.send(t.Context(), "1", "key-a", 0)
			second := d.send(t.Context(), "2", "key-b", 0)
			configured := time.Now()
			d.configure(test.table)
			failure := second.wait(t)
			assert.Assert(t, time.Since(configured) < time.Second, "the first request still holds the slot")
			assert.Equal(t, failure.Kind, test.kind)
			assert.Equal(t, failure.Kind.Response().Execution, errkind.NotExecuted)
			d.end()
			assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
		})
	}
}

// Guards against a batch job that is sent to an engine, since its route became a batch route after the handler had chosen
// to relay it.
func TestBatchJobIsNotRelayed(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.configure(queueTable(2, twoTenants, func(route *routes.Route) { route.Kind = routes.Batch }))
	failure := d.send(t.Context(), "1", "key-a", 0).wait(t)
	assert.Equal(t, failure.Kind, errkind.NotReady)
	assert.Assert(t, failure.Delay() > 0)
	assert.Equal(t, len(d.engines.sentIDs()), 0)
}

// Guards against a configuration that is read but not announced yet when a slot comes free.
func TestConfigurationIsCheckedBeforeSending(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	d.mu.Lock()
	d.table = queueTable(2, twoTenants[:1], nil)
	d.mu.Unlock()
	d.engines.proceed <- struct{}{}
	assert.Equal(t, second.wait(t).Kind, errkind.Unauthorized)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	assert.DeepEqual(t, d.decided(), []QueueDecision{QueueConfigurationChanged})
	third := d.send(t.Context(), "3", "key-a", 0)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1", "3"}) // the slot granted to the refused request is free
	d.end()
	assert.Assert(t, third.wait(t) == nil)
}

// Guards against requests that wait on for the engines of a service to which their route no longer leads.
func TestRequestsMoveWithTheConfiguration(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.Relay.options.Fleet.Put(fleet.Engine{ID: "f", Service: "other", Slots: 1})
	d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	configured := time.Now()
	d.configure(queueTable(2, twoTenants, func(route *routes.Route) { route.Parts[0].Service = "other" }))
	testwait.Until(t, "the waiting request to be sent", func() bool { return len(d.engines.sentIDs()) == 2 })
	assert.Assert(t, time.Since(configured) < time.Second, "the first request still holds the other slot")
	d.end()
	assert.Assert(t, second.wait(t) == nil)
}

// Guards against requests that are kept, or cut off without an answer, at the end of a planned stop.
func TestStopRefusesWaitingRequests(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	d.RefuseWaiting()
	assert.Equal(t, second.wait(t).Kind, errkind.ShuttingDown)
	assert.Equal(t, d.send(t.Context(), "3", "key-b", 0).wait(t).Kind, errkind.ShuttingDown)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	d.end()
}

// Guards against requests that are sent after a suspension by what was known before it.
func TestNothingIsSentWhileTheEnginesAreUnknown(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	d.setKnown(false)
	d.engines.proceed <- struct{}{}
	assert.Equal(t, second.wait(t).Kind, errkind.NotReady)
	assert.DeepEqual(t, d.decided(), []QueueDecision{QueueEnginesUnknown})
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	d.end()
}

// quarantiningGuard refuses requests once the test says that engines ended under them.
type quarantiningGuard struct {
	noCrashes
	crashes atomic.Int64
	// quarantineNext makes engines end under the next request right after it was admitted.
	quarantineNext atomic.Bool
}

func (g *quarantiningGuard) Status(func() quarantine.Fingerprint) quarantine.Status {
	return quarantine.Status{Crashes: int(g.crashes.Load())}
}

func (g *quarantiningGuard) Admit(context.Context, func() quarantine.Fingerprint) *errkind.Error {
	if g.crashes.Load() >= quarantine.RequestLimit {
		return errkind.New(errkind.Quarantined, "the request is quarantined")
	}
	if g.quarantineNext.Swap(false) {
		g.crashes.Store(quarantine.RequestLimit)
	}
	return nil
}

// Guards against a request that is sent although engines ended under the same one while it waited.
func TestRequestQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	d := deployQueue(t, waitsLong)
	guard := &quarantiningGuard{}
	d.Relay.options.Guard = guard
	d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	guard.crashes.Store(quarantine.RequestLimit)
	d.engines.proceed <- struct{}{}
	assert.Equal(t, second.wait(t).Kind, errkind.Quarantined)
	assert.DeepEqual(t, d.decided(), []QueueDecision{QueueQuarantined})
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	assert.Equal(t, d.waiting(), 0)
	d.end()
}

// Guards against a request that is sent although engines ended under the same one between its admission and its wait.
func TestCrashBetweenAdmissionAndWaitQuarantines(t *testing.T) {
	d := deployQueue(t, waitsLong)
	guard := &quarantiningGuard{}
	d.Relay.options.Guard = guard
	d.send(t.Context(), "1", "key-a", 0)
	guard.quarantineNext.Store(true)
	second := d.send(t.Context(), "2", "key-b", 0)
	d.engines.proceed <- struct{}{}
	assert.Equal(t, second.wait(t).Kind, errkind.Quarantined)
	assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
	d.end()
}

// Guards against requests that wait for a slot of an engine that was just listed, or that left.
func TestChangesOfTheEngineListWakeWaitingRequests(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.expectSlowResponses()
	d.send(t.Context(), "1", "key-a", 0)
	second := d.send(t.Context(), "2", "key-b", 0)
	third := d.send(t.Context(), "3", "key-b", 0)
	listed := time.Now()
	d.Relay.options.Fleet.Put(fleet.Engine{ID: "f", Service: "s", Slots: 1})
	d.EnginesChanged()
	testwait.Until(t, "the waiting request to be sent", func() bool { return len(d.engines.sentIDs()) == 2 })
	assert.Assert(t, time.Since(listed) < time.Second)
	d.Relay.options.Fleet.Remove("e")
	d.Relay.options.Fleet.Remove("f")
	d.EnginesChanged()
	assert.Equal(t, third.wait(t).Kind, errkind.NoCapacity)
	d.end()
	assert.Assert(t, second.wait(t) == nil)
}

// reportFull makes an engine's newest report say that it is full.
func (d *queueDeployment) reportFull(engine string) {
	id := incarnation.ID{Engine: engine}
	d.Relay.options.Fleet.RequestStarted(id)
	d.Relay.options.Fleet.RequestEnded(id, fleet.Outcome{At: time.Now(), Load: &fleet.Load{Running: 1}})
}

// Guards against requests that count as of different classes, whose engines are then scanned twice, because they were
// refused by the same engines in another order.
func TestClassDoesNotDependOnTheOrderOfTries(t *testing.T) {
	d := deployQueue(t, waitsLong)
	x, cancel, failure := d.Relay.begin(httptest.NewRecorder(), t.Context(), &Request{
		ID: "1", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
		Credentials: routes.Credentials{Key: "key-a"},
	})
	assert.Assert(t, failure == nil)
	defer cancel()
	classOf := func(tried ...string) string {
		x.tried = tried
		return x.queueRequest(&waiter{query: x.engineQuery()}).Class
	}
	assert.Equal(t, classOf("e", "f"), classOf("f", "e"))
	assert.Assert(t, classOf("e", "f") != classOf("e"))
	assert.DeepEqual(t, x.tried, []string{"e"})
}

// Guards against waits that rest on a report which is not true any more. The request of this node that is held tells
// nothing.
func TestRequestIsSentWhenTheReportExpires(t *testing.T) {
	d := deployQueue(t, waitsLong)
	first := d.send(t.Context(), "1", "key-a", 0)
	d.Relay.options.Fleet.Put(fleet.Engine{ID: "f", Service: "s", Slots: 1})
	d.reportFull("f")
	began := time.Now()
	second := d.send(t.Context(), "2", "key-a", 0)
	testwait.Until(t, "the waiting request to be sent", func() bool { return len(d.engines.sentIDs()) == 2 })
	assert.Assert(t, time.Since(began) >= 400*time.Millisecond, "%s", time.Since(began))
	d.end()
	assert.Assert(t, first.wait(t) == nil && second.wait(t) == nil)
}

// Guards against a node that waits for reports to expire although no request of its own will tell it of a free slot.
func TestRequestIsSentWhenItsEstimateExpires(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.reportFull("e")
	began := time.Now()
	reply := d.send(t.Context(), "1", "key-a", 0)
	testwait.Until(t, "the waiting request to be sent", func() bool { return len(d.engines.sentIDs()) == 1 })
	took := time.Since(began)
	assert.Assert(t, took >= 45*time.Millisecond && took < 400*time.Millisecond, "%s", took)
	assert.DeepEqual(t, d.decided(), []QueueDecision{QueueWaited})
	d.end()
	assert.Assert(t, reply.wait(t) == nil)
}

// Guards against a request that is refused although the engine that was full can run it a little later, and against
// more tries than without the queue.
func TestRequestRefusedByAFullEngineWaits(t *testing.T) {
	d := deployQueue(t, waitsLong)
	tries := 0
	d.engines.answer = func(fleet.Engine, string) *Answer {
		tries++
		if tries > 2 {
			return nil
		}
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Load: &fleet.Load{Running: 1, Slots: 1}}
	}
	reply := d.send(t.Context(), "1", "key-a", 0)
	d.end()
	assert.Assert(t, reply.wait(t) == nil)
	assert.Equal(t, tries, 3)

	d = deployQueue(t, waitsLong)
	d.engines.answer = func(fleet.Engine, string) *Answer {
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Load: &fleet.Load{Running: 1, Slots: 1}}
	}
	reply = d.send(t.Context(), "1", "key-a", 5*time.Second)
	assert.Assert(t, reply.wait(t).Kind.Response().Execution == errkind.NotExecuted)
	assert.Assert(t, len(d.engines.sentIDs()) <= maxTries)
	d.end()
}

// Guards against tries at an engine that has just said that it is full while others have free slots.
func TestRequestRefusedByAFullEngineGoesToAFreeOne(t *testing.T) {
	d := deployQueue(t, waitsLong)
	d.Relay.options.Fleet.Put(fleet.Engine{ID: "far", Service: "s", Slots: 1, Zone: "y", Region: "south"})
	d.Relay.options.Zone, d.Relay.options.Region = "z", "north"
	var asked []string
	d.engines.answer = func(engine fleet.Engine, _ string) *Answer {
		asked = append(asked, engine.ID)
		if engine.ID == "far" {
			return &Answer{Status: http.StatusOK}
		}
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Load: &fleet.Load{Running: 1, Slots: 1}}
	}
	for range 20 {
		// The distance weighs more than the occupancy once responses are short.
		assert.Assert(t, d.send(t.Context(), "1", "key-a", 0).wait(t) == nil)
	}
	for i := 1; i < len(asked); i++ {
		assert.Assert(t, asked[i-1] == "far" || asked[i] == "far", "%v", asked)
	}
	d.end()
}

// Guards against status 429 or 503 for a request that an engine may have run, and against its wait.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	d := deployQueue(t, livequeue.Limits{MaxWait: 50 * time.Millisecond, Requests: 0, Bytes: 0})
	d.configure(queueTable(2, twoTenants, func(route *routes.Route) { route.MaxAttempts = 2 }))
	d.Relay.options.Fleet.Put(fleet.Engine{ID: "f", Service: "s", Slots: 1})
	d.engines.answer = func(engine fleet.Engine, _ string) *Answer {
		for _, id := range []string{"e", "f"} {
			d.Relay.options.Fleet.RequestStarted(incarnation.ID{Engine: id}) // now both engines are full
		}
		return &Answer{Status: http.StatusInternalServerError}
	}
	recorder := httptest.NewRecorder()
	failure := d.Serve(recorder, t.Context(), &Request{
		ID: "1", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
		Credentials: routes.Credentials{Key: "key-a"},
	})
	assert.Assert(t, failure == nil)
	assert.Equal(t, recorder.Code, http.StatusInternalServerError)
	assert.Equal(t, len(d.engines.sentIDs()), 2)
	assert.Equal(t, len(d.decided()), 0)
}

// Guards against more requests at an engine than it has slots, and against requests that are lost, under many at once.
func TestManyRequestsAtOnceKeepTheSlots(t *testing.T) {
	d := deployQueue(t, livequeue.Limits{MaxWait: 5 * time.Second, Requests: 100, Bytes: 1 << 20})
	engines := &countingEngines{}
	d.Relay.options.Engines = engines
	var callers sync.WaitGroup
	for i := range 60 {
		key := twoTenants[i%2].Keys[0]
		callers.Go(func() {
			failure := d.Serve(httptest.NewRecorder(), t.Context(), &Request{
				ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
				Credentials: routes.Credentials{Key: key},
			})
			assert.Check(t, failure == nil || failure.Kind.Response().Execution == errkind.NotExecuted)
			engines.mu.Lock()
			defer engines.mu.Unlock()
			if failure == nil {
				engines.served++
			}
		})
	}
	callers.Wait()
	assert.Equal(t, engines.most, 1)
	assert.Equal(t, engines.served, engines.sent)
	assert.Equal(t, d.waiting(), 0)
	assert.Assert(t, engines.served > 20, "%d", engines.served)
}

// countingEngines answers after a millisecond and counts the concurrent requests.
type countingEngines struct {
	mu                          sync.Mutex
	running, most, sent, served int
}

func (e *countingEngines) Send(context.Context, fleet.Engine, Call) (*Answer, error) {
	e.mu.Lock()
	e.running++
	e.sent++
	e.most = max(e.most, e.running)
	e.mu.Unlock()
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// advance lets the relay's clock, which counts the time of suspensions, go ahead of the others.
func (d *queueDeployment) advance(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ahead += by
}

// Guards against a request that waits on, or is sent, after its deadline passed during a suspension of the machine: the
// clock of its context and its timers stood still.
func TestWaitEndsIfTheDeadlinePassedDuringASuspension(t *testing.T) {
	for name, granted := range map[string]bool{"waiting": false, "granted": true} {
		t.Run(name, func(t *testing.T) {
			d := deployQueue(t, waitsLong)
			d.configure(queueTable(2, twoTenants, func(route *routes.Route) { route.Timeout = 30 * time.Second }))
			d.send(t.Context(), "1", "key-a", 0)
			second := d.send(t.Context(), "2", "key-b", 20*time.Second)
			assert.Equal(t, d.waiting(), 1)
			d.advance(time.Minute)
			if granted {
				d.engines.proceed <- struct{}{}
			}
			failure := second.wait(t)
			assert.Equal(t, failure.Kind, errkind.NoCapacity)
			d.end()
			assert.DeepEqual(t, d.engines.sentIDs(), []string{"1"})
			assert.DeepEqual(t, d.decided(), []QueueDecision{QueueHopeless})
		})
	}
}
