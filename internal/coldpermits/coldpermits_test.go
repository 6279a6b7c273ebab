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

const rate = 7.9

// handClock is a clock that the test advances.
type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *handClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) move(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// lateAnswers is a transport that can delay responses and refuse requests.
type lateAnswers struct {
	mu     sync.Mutex
	asked  int
	refuse bool
	hold   chan struct{}
}

func (l *lateAnswers) RoundTrip(request *http.Request) (*http.Response, error) {
	l.mu.Lock()
	l.asked++
	refuse, hold := l.refuse, l.hold
	l.mu.Unlock()
	if refuse {
		return nil, http.ErrServerClosed
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if hold != nil {
		<-hold
	}
	return response, err
}

func (l *lateAnswers) set(change func(l *lateAnswers)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *lateAnswers) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked
}

// cluster is a leader and nodes that request permits from it.
type cluster struct {
	t       *testing.T
	clock   *handClock
	decider *Decider
	server  *httptest.Server
}

func newDecider(clock *handClock) *Decider {
	decider := NewDecider(func(Sender, Outcome) {})
	decider.now = clock.read
	return decider
}

func newCluster(t *testing.T) *cluster {
	clock := &handClock{now: time.Unix(1000, 0)}
	c := &cluster{t: t, clock: clock, decider: newDecider(clock)}
	c.server = httptest.NewServer(c.decider.Handler(func(service string) (routes.SlowStart, bool) {
		return routes.SlowStart{Period: 3 * time.Second, RatePerSecond: rate}, service == "s"
	}))
	t.Cleanup(c.server.Close)
	return c
}

// lead makes the cluster's node lead, after the pause that follows earlier terms.
func (c *cluster) lead() (end func()) {
	end = c.decider.Lead(func() bool { return true })
	c.clock.move(slowstart.TakeoverPause)
	return end
}

// asker returns another node.
func (c *cluster) asker() (*Asker, *lateAnswers) {
	transport := &lateAnswers{}
	asker := NewAsker(Options{
		Decider: newDecider(c.clock), Leader: func() string { return strings.TrimPrefix(c.server.URL, "http://") },
		Client: &http.Client{Transport: transport}, Logger: zerolog.Nop(), Observe: func(Outcome) {},
		Cold: func(fleet.Engine) (fleet.Coldness, bool) { return fleet.Coldness{RatePerSecond: rate}, true },
	})
	asker.now = c.clock.read
	return asker, transport
}

func cold(id string) fleet.Engine { return fleet.Engine{ID: id, Born: 7, Service: "s"} }

func ask(asker *Asker, engines ...fleet.Engine) (Permit, Denial) {
	return asker.Ask(context.Background(), "s", engines)
}

// sendAll requests permits repeatedly for a period and returns the times of the sent requests.
func (c *cluster) sendAll(askers []*Asker, period time.Duration) []time.Time {
	var left []time.Time
	for until := c.clock.read().Add(period); c.clock.read().Before(until); c.clock.move(10 * time.Millisecond) {
		for _, asker := range askers {
			if permit, denial := ask(asker, cold("e")); denial.Outcome == Granted && permit.Open() {
				left = append(left, c.clock.read())
			}
		}
	}
	return left
}

func mostInASecond(times []time.Time) int {
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

// TestAllNodesTogetherGetTheRate includes the leader's own requests.
func TestAllNodesTogetherGetTheRate(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	var askers []*Asker
	for range 5 {
		asker, _ := c.asker()
		askers = append(askers, asker)
	}
	own, _ := c.asker()
	own.options.Decider = c.decider
	left := c.sendAll(append(askers, own), 4*time.Second)
	assert.Assert(t, mostInASecond(left) <= 8+slowstart.Burst, "%d", mostInASecond(left))
	assert.Assert(t, len(left) >= 4*7, "%d in four seconds: the rate must not starve", len(left))
}

func TestAnyEngineOfTheQuestionIsGrantedTheFirstOneFirst(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	asker, _ := c.asker()
	got := make(map[string]int)
	for range 2 * slowstart.Burst {
		permit, denial := ask(asker, cold("a"), cold("b"))
		assert.Equal(t, denial.Outcome, Granted)
		assert.Equal(t, permit.Engine.Born, int64(7))
		got[permit.Engine.Engine]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": slowstart.Burst, "b": slowstart.Burst})
	_, denial := ask(asker, cold("a"), cold("b"))
	assert.Equal(t, denial.Outcome, Paced)
	assert.Assert(t, denial.Wait > 0 && denial.Wait <= time.Second/7*3/2, "%s", denial.Wait)
}

// TestARefusedNodeAsksOnceUntilItMayComeAgain: further callers cause no further requests.
func TestARefusedNodeAsksOnceUntilItMayComeAgain(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	asker, transport := c.asker()
	for range slowstart.Burst + 1 {
		ask(asker, cold("e"))
	}
	asked := transport.count()
	_, first := ask(asker, cold("e"))
	assert.Equal(t, first.Outcome, Withheld)
	assert.Equal(t, transport.count(), asked)
	c.clock.move(first.Wait)
	_, denial := ask(asker, cold("e"))
	assert.Equal(t, denial.Outcome, Granted, "whoever waits as told is admitted")
}

// TestANodeThatIsCutOffGetsNothing: the other nodes get the full rate meanwhile.
func TestANodeThatIsCutOffGetsNothing(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	cut, transport := c.asker()
	other, _ := c.asker()
	transport.set(func(l *lateAnswers) { l.refuse = true })
	assert.Equal(t, len(c.sendAll([]*Asker{cut}, 2*time.Second)), 0)
	_, denial := ask(cut, cold("e"))
	assert.Assert(t, denial.Outcome == Unanswered || denial.Outcome == Withheld)
	assert.Assert(t, denial.Wait > 0)
	assert.Assert(t, len(c.sendAll([]*Asker{cut, other}, 2*time.Second)) >= 2*7)
}

// TestAPermitWhoseAnswerIsLostIsUsedByNobody: the engine gets fewer requests, never more.
func TestAPermitWhoseAnswerIsLostIsUsedByNobody(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	asker, transport := c.asker()
	hold := make(chan struct{})
	transport.set(func(l *lateAnswers) { l.hold = hold })
	done := make(chan Denial)
	go func() {
		permit, denial := ask(asker, cold("e"))
		if denial.Outcome == Granted && permit.Open() {
			denial.Outcome = 99
		}
		done <- denial
	}()
	testwait.Until(t, "the question is admitted", func() bool {
		return c.decider.Room(cold("e").Incarnation(), fleet.Coldness{RatePerSecond: rate}) < slowstart.Burst
	})
	c.clock.move(slowstart.PermitLife)
	close(hold)
	// The permit of the late response has expired, since its lifetime starts with the request.
	denial := <-done
	assert.Assert(t, denial.Outcome != 99, "an old permit was open")
}

// TestASuspendedNodeThatWakesHoldsAnEndedPermit: the clock advances during a suspension.
func TestASuspendedNodeThatWakesHoldsAnEndedPermit(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	asker, _ := c.asker()
	permit, denial := ask(asker, cold("e"))
	assert.Equal(t, denial.Outcome, Granted)
	assert.Assert(t, permit.Open())
	c.clock.move(slowstart.PermitLife)
	assert.Assert(t, !permit.Open())
}

// TestTheLeadersOwnPermitsEndWithItsTerm: the next leader does not wait longer for them.
func TestTheLeadersOwnPermitsEndWithItsTerm(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
	decider := newDecider(clock)
	valid := true
	end := decider.Lead(func() bool { return valid })
	clock.move(slowstart.TakeoverPause)
	permit, _, outcome := decider.Admit(Items, incarnation.ID{Engine: "e"}, fleet.Coldness{RatePerSecond: rate})
	assert.Equal(t, outcome, Granted)
	assert.Assert(t, permit.Open())
	valid = false
	assert.Assert(t, !permit.Open())
	assert.Assert(t, !decider.Leads())
	assert.Equal(t, decider.Room(incarnation.ID{Engine: "e"}, fleet.Coldness{RatePerSecond: rate}), 0)
	_, _, outcome = decider.Admit(Items, incarnation.ID{Engine: "e"}, fleet.Coldness{RatePerSecond: rate})
	assert.Equal(t, outcome, NotLeading)
	end()
}

// TestALeaderThatIsKilledWithPermitsOut: outstanding permits are used at the last moment, and the next
// leader admits as much as it can from the start.
func TestALeaderThatIsKilledWithPermitsOut(t *testing.T) {
	c := newCluster(t)
	c.lead()
	var askers []*Asker
	for range 3 {
		asker, _ := c.asker()
		askers = append(askers, asker)
	}
	var left []time.Time
	var out []Permit
	for until := c.clock.read().Add(2 * time.Second); c.clock.read().Before(until); c.clock.move(10 * time.Millisecond) {
		for _, asker := range askers {
			if permit, denial := ask(asker, cold("e")); denial.Outcome == Granted {
				out = append(out, permit)
			}
		}
		// Each permit is used at the last moment of its window.
		out = slices.DeleteFunc(out, func(permit Permit) bool {
			c.clock.move(10 * time.Millisecond)
			last := !permit.Open()
			c.clock.move(-10 * time.Millisecond)
			if last && permit.Open() {
				left = append(left, c.clock.read())
			}
			return last
		})
	}
	assert.Assert(t, len(out) > 0, "no permit is out")
	defer c.decider.Lead(func() bool { return true })()
	for range out {
		left = append(left, c.clock.read().Add(slowstart.PermitLife))
	}
	takeover := len(left)
	next := c.sendAll(askers, 4*time.Second)
	left = append(left, next...)
	slices.SortFunc(left, time.Time.Compare)
	assert.Assert(t, mostInASecond(left) <= 8+slowstart.Burst, "%d in a second", mostInASecond(left))
	assert.Assert(t, len(next) > 0 && takeover > 0)
}

func TestANodeThatDoesNotLeadOrKnowTheServiceSaysSo(t *testing.T) {
	c := newCluster(t)
	asker, _ := c.asker()
	_, denial := ask(asker, cold("e"))
	assert.Equal(t, denial.Outcome, NotLeading)
	defer c.lead()()
	other, _ := c.asker()
	_, denial = other.Ask(context.Background(), "unknown", []fleet.Engine{cold("e")})
	assert.Equal(t, denial.Outcome, Unknown)
}

// TestOnlySoManyQuestionsAreUnderWay: further ones are denied without a request.
func TestOnlySoManyQuestionsAreUnderWay(t *testing.T) {
	c := newCluster(t)
	defer c.lead()()
	asker, transport := c.asker()
	hold := make(chan struct{})
	transport.set(func(l *lateAnswers) { l.hold = hold })
	var waiting sync.WaitGroup
	for range maxConcurrentAsks {
		waiting.Go(func() { ask(asker, cold("e")) })
	}
	testwait.Until(t, "all places are taken", func() bool { return transport.count() == maxConcurrentAsks })
	_, denial := ask(asker, cold("e"))
	assert.Equal(t, denial.Outcome, Withheld)
	assert.Equal(t, transport.count(), maxConcurrentAsks)
	close(hold)
	waiting.Wait()
}
