// Package weightorders orders the engines to load the named weight versions. Only the
// leader sends orders, with its epoch as the fencing token. Each order names the engine's
// count of orders, so that late orders are rejected.
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
	// tickPeriod is the interval between two planning passes, planShare bounds the share of
	// time that the manager spends on them.
	tickPeriod = 50 * time.Millisecond
	planShare  = 0.05
	// firstCheck is the delay of the first check whether a load is done, checkPeriod the interval of
	// further ones.
	firstCheck  = 950 * time.Millisecond
	checkPeriod = 100 * time.Millisecond
	// nearlyDoneShare is the share of the mean load time after which a load no longer counts as in
	// progress, since engines report its end late.
	nearlyDoneShare = 0.8
	// loadWeight is the weight of a new sample in the moving average of load times.
	loadWeight = 0.3
	// loadTimeout bounds the wait for a load. It may be ordered again after that.
	loadTimeout = 5 * time.Second
	// orderPause is how long an engine that did not accept an order gets none.
	orderPause = 500 * time.Millisecond
	// demandWeight is the weight of a new sample in the moving average of the demand.
	demandWeight = 0.02
	// itemPeakPeriod is how long a peak of items counts. It spans the pauses of trainers between two steps.
	itemPeakPeriod = 2 * time.Minute
)

// Mode defines what happens to running items during a load.
type Mode string

// The modes.
const (
	// Finish waits for running items before the load.
	Finish Mode = "finish"
	// Continue continues running items with the new weights.
	Continue Mode = "continue"
)

// Order is one order to an engine.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder is the ordering process, Fence its epoch.
	Holder string
	Fence  int64
	// Count is the engine's count of orders before this one.
	Count int64
	// MayLeave reports whether the order may still be sent. It is called right before its
	// first byte is written, from any goroutine; nil means no limit.
	MayLeave func() bool
}

// Answer is an engine's answer to an order.
type Answer uint8

// The answers.
const (
	// Unanswered: the order may take effect now, later or never.
	Unanswered Answer = iota
	// Taken: the order is in progress.
	Taken
	// Held: the engine has the version already.
	Held
	// Conflict: another order is in progress or has come before.
	Conflict
	// Fenced: a newer leader has ordered the engine.
	Fenced
	// Refused: the engine rejected this order.
	Refused
)

var answerNames = [...]string{
	Unanswered: "unanswered", Taken: "taken", Held: "held", Conflict: "conflict", Fenced: "fenced", Refused: "refused",
}

// String returns the answer as logged.
func (a Answer) String() string { return answerNames[a] }

// Report is the state that an engine reports.
type Report struct {
	// Of is the incarnation that answered, which may differ from the one addressed.
	Of       incarnation.ID
	Versions map[string]int64
	Busy     bool
	Count    int64
}

// Engines orders engines.
type Engines interface {
	// Report returns what an engine has loaded. mayLeave is called right before the request is sent, from
	// any goroutine.
	Report(ctx context.Context, engine fleet.Engine, mayLeave func() bool) (Report, error)
	Order(ctx context.Context, engine fleet.Engine, order Order) (Answer, error)
}

// Target is a service with the versions named for its models.
type Target struct {
	Service string
	// Versions holds the named version of each model of the service; zero if none is
	// named.
	Versions map[string]int64
	// SingleVersion is true if an item must not be run under two versions.
	SingleVersion bool
}

// Options are the parts that a manager works with.
type Options struct {
	Engines Engines
	Fleet   *fleet.Fleet
	// Gate is checked before orders are sent; nil for one that checks Fleet only.
	Gate *sendgate.Gate
	// Targets returns the versions to load.
	Targets func() []Target
	// Term is the term of leadership of the manager.
	Term lease.Term
	// Running returns the number of running items by engine, without idle engines; Demands the demand by
	// model.
	Running func() map[incarnation.ID]int
	Demands func() map[string]batchrun.Demand
	// Loaded is called after an engine has loaded.
	Loaded func()
	Holder string
	Fence  int64
	Logger zerolog.Logger
}

// Manager orders loads during one term of leadership.
type Manager struct {
	options Options

	mu sync.Mutex
	// loading holds the load in progress of each engine.
	loading map[incarnation.ID]*loadInProgress
	limiter *weightplan.Limiter
	// loadTime is the moving average of the time until a load is reported as done.
	loadTime time.Duration
	// counts holds the known counts of orders by engine.
	counts map[incarnation.ID]int64
	// retryAt is when an engine that did not accept an order may be ordered again.
	retryAt map[incarnation.ID]time.Time
	// starts is Fleet.Starts as of the last cleanup of counts and retryAt.
	starts     int64
	allocators map[string]*weightplan.Allocator
	demands    map[string]float64
	// items tracks the peak of open items by model.
	items map[string]*peak.Window
	// named holds the last logged version by model.
	named map[string]int64
	wait  sync.WaitGroup
}

// loadInProgress is a load that an engine was ordered.
type loadInProgress struct {
	model string
	since time.Time
	// together is the maximum number of concurrent loads since then, this one
	// included.
	together int
}

// New returns a manager for one term.
func New(options Options) *Manager {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	return &Manager{
		options:    options,
		limiter:    weightplan.NewLimiter(),
		loading:    make(map[incarnation.ID]*loadInProgress),
		counts:     make(map[incarnation.ID]int64),
		retryAt:    make(map[incarnation.ID]time.Time),
		allocators: make(map[string]*weightplan.Allocator),
		demands:    make(map[string]float64),
		items:      make(map[string]*peak.Window),
		named:      make(map[string]int64),
	}
}

// AllLoading returns the models being loaded by engine.
func (m *Manager) AllLoading() map[incarnation.ID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	loading := make(map[incarnation.ID]string, len(m.loading))
	for engine, load := range m.loading {
		loading[engine] = load.model
	}
	return loading
}

// Loading returns the model that an engine is loading; empty for none.
func (m *Manager) Loading(engine incarnation.ID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load, found := m.loading[engine]; found {
		return load.model
	}
	return ""
}

// Run orders loads until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	cycle := dutycycle.New(tickPeriod, planShare)
	for retry.Sleep(ctx, cycle.Wait(time.Now())) {
		began := time.Now()
		m.forgetEnded()
		for _, target := range m.options.Targets() {
			m.plan(ctx, target)
		}
		cycle.Ended(began, time.Now())
	}
	m.wait.Wait()
}

// forgetEnded drops the state of engines that have ended, whenever others have started.
func (m *Manager) forgetEnded() {
	starts := m.options.Fleet.Starts()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.starts == starts {
		return
	}
	m.starts = starts
	maps.DeleteFunc(m.counts, func(engine incarnation.ID, _ int64) bool { return m.hasEnded(engine) })
	maps.DeleteFunc(m.retryAt, func(engine incarnation.ID, _ time.Time) bool { return m.hasEnded(engine) })
}

// hasEnded reports whether an engine is no longer listed.
func (m *Manager) hasEnded(engine incarnation.ID) bool {
	_, known := m.options.Fleet.Find(engine)
	return !known
}
