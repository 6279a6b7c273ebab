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
	// askTimeout bounds a question: an answer that comes later leaves no time to use the permit.
	askTimeout = slowstart.PermitLife - 50*time.Millisecond
	// askAtOnce bounds the questions of this node that are under way.
	askAtOnce = 16
	// unansweredPause is how long nothing more is asked for a service after a question that was not
	// answered.
	unansweredPause = 500 * time.Millisecond
)

// Denial is why no cold engine may be sent a request now.
type Denial struct {
	Outcome Outcome
	// Wait is the time after which another try may succeed.
	Wait time.Duration
}

// Options are the parts that an asker works with.
type Options struct {
	Decider *Decider
	// Cold tells whether an engine counts as cold.
	Cold func(engine fleet.Engine) (fleet.Coldness, bool)
	// Leader returns where the node that leads listens for other nodes; empty when it is not known.
	Leader func() string
	Client *http.Client
	Logger zerolog.Logger
	// Observe is told how each question ended.
	Observe func(outcome Outcome)
}

// Asker gets permits for the requests of this node. It is safe for concurrent use.
type Asker struct {
	options Options
	now     func() time.Time
	places  chan struct{}

	mu sync.Mutex
	// paused holds until when nothing is asked for a service.
	paused map[string]time.Time
}

// NewAsker returns an asker.
func NewAsker(options Options) *Asker {
	return &Asker{
		options: options, now: boottime.Now, places: make(chan struct{}, askAtOnce), paused: make(map[string]time.Time),
	}
}

// Ask returns a permit for one of the engines of a service, the first ones rather than the last ones.
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
	case a.places <- struct{}{}:
		defer func() { <-a.places }()
	default:
		return Permit{}, Denial{Outcome: Withheld, Wait: unansweredPause}
	}
	permit, denial := a.askLeader(ctx, service, engines)
	return permit, a.pauseUnlessGranted(ctx, service, denial)
}

// decide is the question of the node that leads itself.
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

// askLeader asks the node that leads, once. The permit counts from before the question was sent, since
// its grant may lie at any moment after that; one whose answer is lost is not used by anyone.
func (a *Asker) askLeader(ctx context.Context, service string, engines []fleet.Engine) (Permit, Denial) {
	leader := a.options.Leader()
	if leader == "" {
		return Permit{}, Denial{Outcome: Unanswered, Wait: notLeadingWait}
	}
	asked := question{Service: service}
	for _, each := range engines[:min(len(engines), MaxEngines)] {
		asked.Engines = append(asked.Engines, engine{ID: each.ID, Born: each.Born})
	}
	began := a.now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answered answer
	err := msgpackhttp.Ask(ctx, a.options.Client, "http://"+leader+Path, &asked, &answered, maxAnswerBytes)
	if err != nil {
		a.options.Logger.Info().Err(err).Str("leader", leader).Str("service", service).Int("engines", len(engines)).
			Dur("took_ms", a.now().Sub(began)).Msg("permit for a cold engine not answered")
		return Permit{}, Denial{Outcome: Unanswered, Wait: unansweredPause}
	}
	if answered.Outcome != Granted {
		return Permit{}, Denial{Outcome: answered.Outcome, Wait: max(answered.Wait, time.Millisecond)}
	}
	return Permit{Engine: answered.Engine.incarnation(), until: began.Add(slowstart.PermitLife), now: a.now}, Denial{Outcome: Granted}
}

// isPaused tells whether a question was refused so recently that the next one would be as well.
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

// pauseUnlessGranted notes that nothing is to be asked for a service until the wait is over. The wait is
// stretched by up to a half: all nodes are told the same moment, and the leader would be first each time.
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
