package coldpermits

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/slowstart"
)

const (
	// askTimeout bounds a request. A later response would leave no time to use the permit.
	askTimeout = slowstart.PermitLife - 50*time.Millisecond
	// maxConcurrentAsks bounds the concurrent requests of this node.
	maxConcurrentAsks = 16
	// unansweredPause is how long requests for a service are suspended after one without a response.
	unansweredPause = 500 * time.Millisecond
)

// Denial is the reason why no permit was granted.
type Denial struct {
	Outcome Outcome
	// Wait is the time after which a retry may succeed.
	Wait time.Duration
}

// Options are the parts that an asker works with.
type Options struct {
	Decider *Decider
	// Cold reports whether an engine counts as cold.
	Cold func(engine fleet.Engine) (fleet.Coldness, bool)
	// Leader returns the peer address of the leader; empty when unknown.
	Leader func() string
	Client *http.Client
	Logger zerolog.Logger
	// Observe is called with the outcome of each request.
	Observe func(outcome Outcome)
}

// Asker requests permits for this node. It is safe for concurrent use.
type Asker struct {
	options Options
	now     func() time.Time
	// slots is a semaphore of maxConcurrentAsks.
	slots chan struct{}

	mu sync.Mutex
	// paused holds the end of each service's pause.
	paused map[string]time.Time
}

// NewAsker returns an asker.
func NewAsker(options Options) *Asker {
	return &Asker{
		options: options, now: boottime.Now, slots: make(chan struct{}, maxConcurrentAsks), paused: make(map[string]time.Time),
	}
}

// Ask returns a permit for one of the engines of a service, which are in order of preference.
func (a *Asker) Ask(ctx context.Context, service string, engines []fleet.Engine) (Permit, Denial) {
	permit, denial := a.ask(ctx, service, engines)
	a.options.Observe(denial.Outcome)
	return permit, denial
}

func (a *Asker) ask(ctx context.Context, service string, engines []fleet.Engine) (Permit, Denial) {
	if denial, paused := a.isPaused(service); paused {
		return Permit{}, denial
	}
	if a.options.Decider.Leads() {
		permit, denial := a.decide(engines)
		return permit, a.pauseUnlessGranted(ctx, service, denial)
	}
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		return Permit{}, Denial{Outcome: Withheld, Wait: unansweredPause}
	}
	permit, denial := a.askLeader(ctx, service, engines)
	return permit, a.pauseUnlessGranted(ctx, service, denial)
}

// decide requests a permit from this node's own decider, since it leads.
func (a *Asker) decide(engines []fleet.Engine) (Permit, Denial) {
	denial := Denial{Outcome: Paced}
	for _, each := range engines {
		cold, isCold := a.options.Cold(each)
		if !isCold {
			continue
		}
		permit, wait, outcome := a.options.Decider.Admit(Requests, each.Incarnation(), cold)
		if outcome == Granted {
			return permit, Denial{Outcome: Granted}
		}
		if denial.Wait == 0 || wait < denial.Wait {
			denial = Denial{Outcome: outcome, Wait: wait}
		}
	}
	return Permit{}, denial
}

// askLeader requests a permit from the leader, without retries. The permit's lifetime starts before the
// request is sent, since it may be granted at any moment after that. A permit whose response is lost
// stays unused.
func (a *Asker) askLeader(ctx context.Context, service string, engines []fleet.Engine) (Permit, Denial) {
	leader := a.options.Leader()
	if leader == "" {
		return Permit{}, Denial{Outcome: Unanswered, Wait: notLeadingWait}
	}
	request := permitRequest{Service: service}
	for _, each := range engines[:min(len(engines), MaxEngines)] {
		request.Engines = append(request.Engines, engine{ID: each.ID, Born: each.Born})
	}
	began := a.now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var response permitResponse
	err := msgpackhttp.Ask(ctx, a.options.Client, "http://"+leader+Path, &request, &response, maxResponseBytes)
	if err != nil {
		a.options.Logger.Info().Err(err).Str("leader", leader).Str("service", service).Int("engines", len(engines)).
			Dur("took_ms", a.now().Sub(began)).Msg("permit for a cold engine not answered")
		return Permit{}, Denial{Outcome: Unanswered, Wait: unansweredPause}
	}
	if response.Outcome != Granted {
		return Permit{}, Denial{Outcome: response.Outcome, Wait: max(response.Wait, time.Millisecond)}
	}
	return Permit{Engine: response.Engine.incarnation(), until: began.Add(slowstart.PermitLife), now: a.now}, Denial{Outcome: Granted}
}

// isPaused reports whether requests for a service are suspended, and returns the denial for them.
func (a *Asker) isPaused(service string) (Denial, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, found := a.paused[service]
	if !found {
		return Denial{}, false
	}
	left := until.Sub(a.now())
	if left <= 0 {
		delete(a.paused, service)
		return Denial{}, false
	}
	return Denial{Outcome: Withheld, Wait: left}, true
}

// pauseUnlessGranted suspends requests for a service until a denial's wait is over. The wait is
// extended by a jitter of up to a half: otherwise all nodes would retry at the same moment, and the leader
// would always be first.
func (a *Asker) pauseUnlessGranted(ctx context.Context, service string, denial Denial) Denial {
	if denial.Outcome == Granted || ctx.Err() != nil {
		return denial
	}
	denial.Wait += rand.N(denial.Wait/2 + 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused[service] = a.now().Add(min(denial.Wait, notLeadingWait))
	return denial
}
