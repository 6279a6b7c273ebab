// Package weightorders orders engines to load the target weight versions. Only the leader sends orders, with its
// epoch as the fencing token. Each order contains the engine's order count, so that engines reject delayed
// orders.
package weightorders

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/dutycycle"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/peak"
	"github.com/corkpulley/corkpulley/internal/core/weightplan"
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

const (
	// tickPeriod is the interval between planning passes, maxPlanShare bounds the share of time spent on them.
	tickPeriod   = 50 * time.Millisecond
	maxPlanShare = 0.05
	// firstPollDelay is the delay before an engine is first polled for the end of a load, pollInterval the
	// interval of further polls.
	firstPollDelay = 950 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	// nearlyDoneShare is the share of the mean load time after which a load no longer counts as in progress,
	// since engines report its end late.
	nearlyDoneShare = 0.8
	// loadTimeSmoothing is the weight of a new sample in the moving average of the load time.
	loadTimeSmoothing = 0.3
	// loadTimeout bounds the wait for the end of a load. The load may be ordered again after that.
	loadTimeout = 5 * time.Second
	// retryDelay is how long an engine gets no order after a failed one.
	retryDelay = 500 * time.Millisecond
	// demandSmoothing is the weight of a new sample in the moving average of the demand.
	demandSmoothing = 0.02
	// itemPeakPeriod is the window of the peak of open items. It must exceed the pauses of trainers between
	// steps.
	itemPeakPeriod = 2 * time.Minute
)

// Mode is the treatment of running items by a load.
type Mode string

// Modes of a load.
const (
	// Finish waits for the running items before the load.
	Finish Mode = "finish"
	// Continue continues the running items with the new weights.
	Continue Mode = "continue"
)

// Order is an order to load a version of a model's weights.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder is the process that holds the lease, Fence its epoch.
	Holder string
	Fence  int64
	// Count is the number of orders that the engine has accepted before this one.
	Count int64
	// MaySend reports whether the order may still be sent. It is called from any goroutine right before the
	// first byte is written; nil means always.
	MaySend func() bool
}

// Answer is an engine's answer to an order.
type Answer uint8

// Answers to an order.
const (
	// Unanswered: no response; the order may take effect now, later or never.
	Unanswered Answer = iota
	// Accepted: the engine has accepted the order and loads the version.
	Accepted
	// AlreadyLoaded: the engine has already loaded the version.
	AlreadyLoaded
	// Conflict: another load is in progress, or the order count is outdated.
	Conflict
	// Fenced: the engine has received an order with a higher epoch.
	Fenced
	// Refused: the order was not sent, or the engine rejected it.
	Refused
)

var answerNames = [...]string{
	Unanswered: "unanswered", Accepted: "taken", AlreadyLoaded: "held", Conflict: "conflict", Fenced: "fenced", Refused: "refused",
}

// String returns the answer's name in logs.
func (a Answer) String() string { return answerNames[a] }

// Report is the state that an engine reports.
type Report struct {
	// Incarnation is the incarnation that answered, which may differ from the one addressed.
	Incarnation incarnation.ID
	// Versions holds the loaded version by model.
	Versions map[string]int64
	// Busy is true while a load is in progress.
	Busy bool
	// Count is the number of orders that the engine has accepted.
	Count int64
}

// Engines is a client of the engines.
type Engines interface {
	// Report requests an engine's report. maySend is called from any goroutine right before the request is sent
	// and reports whether it may still be sent.
	Report(ctx context.Context, engine fleet.Engine, maySend func() bool) (Report, error)
	// Order sends an order to an engine.
	Order(ctx context.Context, engine fleet.Engine, order Order) (Answer, error)
}

// Target holds the target versions of a service's models.
type Target struct {
	Service string
	// Versions holds the target version by model; zero if a model has none.
	Versions map[string]int64
	// SingleVersion is true if an item must run with a single version from start to end.
	SingleVersion bool
}

// Options configures a Manager.
type Options struct {
	Engines Engines
	Fleet   *fleet.Fleet
	// Gate is checked before requests are sent; nil for a gate that checks Fleet only.
	Gate *sendgate.Gate
	// Targets returns the target versions of all services.
	Targets func() []Target
	// Term is the leadership term during which the manager may send orders.
	Term lease.Term
	// Running returns the number of running items by engine, without idle engines, and Demands the demand by
	// model since its previous call. They are called without a lock held: the runner calls LoadingModel with its own
	// lock held.
	Running func() map[incarnation.ID]int
	Demands func() map[string]batchrun.Demand
	// Fast returns the engines in the fast class of their service; nil for none. Models share these engines separately
	// from the others.
	Fast func() map[incarnation.ID]bool
	// OnLoadEnd is called after each ordered load has ended, successfully or not.
	OnLoadEnd func()
	// Holder and Fence are sent with each order.
	Holder string
	Fence  int64
	Logger zerolog.Logger
}

// Manager orders loads during one leadership term.
type Manager struct {
	options Options

	mu sync.Mutex
	// loading holds the loads in progress by engine.
	loading map[incarnation.ID]*loadInProgress
	limiter *weightplan.Limiter
	// meanLoadTime is the moving average of the time until an engine reports the end of a load.
	meanLoadTime time.Duration
	// counts holds the known order counts by engine.
	counts map[incarnation.ID]int64
	// retryAt holds the time before which an engine gets no further order after a failed one.
	retryAt map[incarnation.ID]time.Time
	// incarnationsListed is the value of Fleet.IncarnationsListed at the last cleanup of counts and retryAt.
	incarnationsListed int64
	allocators         map[string]*weightplan.Allocator
	// meanDemands holds the moving average of the demand in tokens by model.
	meanDemands map[string]float64
	// itemPeaks tracks the peak of open items by model.
	itemPeaks map[string]*peak.Window
	// loggedVersions holds the last logged target version by model.
	loggedVersions map[string]int64
	loadGroup      sync.WaitGroup
}

// loadInProgress is a load that was ordered and has not ended.
type loadInProgress struct {
	model     string
	startedAt time.Time
	// concurrency is the maximum number of concurrent loads since startedAt, including this one.
	concurrency int
}

// New returns a manager for one leadership term.
func New(options Options) *Manager {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	return &Manager{
		options:        options,
		limiter:        weightplan.NewLimiter(),
		loading:        make(map[incarnation.ID]*loadInProgress),
		counts:         make(map[incarnation.ID]int64),
		retryAt:        make(map[incarnation.ID]time.Time),
		allocators:     make(map[string]*weightplan.Allocator),
		meanDemands:    make(map[string]float64),
		itemPeaks:      make(map[string]*peak.Window),
		loggedVersions: make(map[string]int64),
	}
}

// LoadingModels returns the model that each engine is loading, without idle engines.
func (m *Manager) LoadingModels() map[incarnation.ID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	loading := make(map[incarnation.ID]string, len(m.loading))
	for engine, load := range m.loading {
		loading[engine] = load.model
	}
	return loading
}

// LoadingModel returns the model that an engine is loading; empty if it loads none.
func (m *Manager) LoadingModel(engine incarnation.ID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load, found := m.loading[engine]; found {
		return load.model
	}
	return ""
}

// Run plans and orders loads until ctx ends, and then waits for the running ones.
func (m *Manager) Run(ctx context.Context) {
	cycle := dutycycle.New(tickPeriod, maxPlanShare)
	for retry.Sleep(ctx, cycle.Wait(time.Now())) {
		began := time.Now()
		m.dropEnded()
		targets, work := m.options.Targets(), m.currentWork()
		for _, target := range targets {
			m.plan(ctx, target, work)
		}
		cycle.Ended(began, time.Now())
	}
	m.loadGroup.Wait()
}

// dropEnded drops the state of engines that are no longer listed, if any engine has started since the last
// call.
func (m *Manager) dropEnded() {
	incarnationsListed := m.options.Fleet.IncarnationsListed()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incarnationsListed == incarnationsListed {
		return
	}
	m.incarnationsListed = incarnationsListed
	maps.DeleteFunc(m.counts, func(engine incarnation.ID, _ int64) bool { return m.hasEnded(engine) })
	maps.DeleteFunc(m.retryAt, func(engine incarnation.ID, _ time.Time) bool { return m.hasEnded(engine) })
}

func (m *Manager) hasEnded(engine incarnation.ID) bool {
	_, known := m.options.Fleet.Find(engine)
	return !known
}
