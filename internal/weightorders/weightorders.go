// Package weightorders moves the engines to the named weight versions. Only the
// leader orders, under its epoch as the fencing token; an engine's count of
// orders makes an order that arrives late void.
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
	// tickPeriod is the time between two looks at what is to be loaded, planShare the
	// most of its time that the manager spends on them.
	tickPeriod = 50 * time.Millisecond
	planShare  = 0.05
	// firstCheck and checkPeriod pace the questions whether a load is done.
	firstCheck  = 950 * time.Millisecond
	checkPeriod = 100 * time.Millisecond
	// takenShare is the share of the usual time of a load after which the next one
	// may begin: engines report the end of theirs some hundred milliseconds late.
	takenShare = 0.8
	// loadWeight is the weight of a new load's time in the moving mean.
	loadWeight = 0.3
	// loadTimeout gives up waiting for a load; it may be ordered again.
	loadTimeout = 5 * time.Second
	// orderPause keeps an engine that did not take an order alone for a while.
	orderPause = 500 * time.Millisecond
	// demandWeight is the weight of a new demand in the moving mean.
	demandWeight = 0.02
	// itemMemory is the time for which a peak of items counts: trainers submit every few seconds, and pause for
	// as long while they train.
	itemMemory = 2 * time.Minute
)

// Mode says what becomes of the items that run while weights change.
type Mode string

// The modes.
const (
	// Finish lets running items end first.
	Finish Mode = "finish"
	// Continue lets running items go on under the new weights.
	Continue Mode = "continue"
)

// Order is one order to an engine.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder and Fence name who orders and under which epoch.
	Holder string
	Fence  int64
	// Count is the engine's count of orders that this one follows.
	Count int64
	// MayLeave tells whether the order may still leave this node. It is asked right
	// before its bytes do, in any goroutine; nil sets no limit.
	MayLeave func() bool
}

// Answer is an engine's answer to an order.
type Answer uint8

// The answers.
const (
	// Unanswered: the order may be carried out now, later or never.
	Unanswered Answer = iota
	// Taken: the order is under way.
	Taken
	// Held: the engine has the version already.
	Held
	// Conflict: another order is under way or came before.
	Conflict
	// Fenced: a newer leader has ordered the engine.
	Fenced
	// Refused: the engine does not take this order.
	Refused
)

var answerNames = [...]string{
	Unanswered: "unanswered", Taken: "taken", Held: "held", Conflict: "conflict", Fenced: "fenced", Refused: "refused",
}

// String returns the answer as it stands in logs.
func (a Answer) String() string { return answerNames[a] }

// Report is what an engine says of itself.
type Report struct {
	// Of is the incarnation that answered. It is the one that was asked only if it began when that did.
	Of       incarnation.ID
	Versions map[string]int64
	Busy     bool
	Count    int64
}

// Engines orders engines.
type Engines interface {
	// Report asks what an engine has loaded. mayLeave is asked right before the question leaves, in any
	// goroutine.
	Report(ctx context.Context, engine fleet.Engine, mayLeave func() bool) (Report, error)
	Order(ctx context.Context, engine fleet.Engine, order Order) (Answer, error)
}

// Target is a service with the versions named for its models.
type Target struct {
	Service string
	// Versions holds the named version of each model of the service, zero when
	// none was named.
	Versions map[string]int64
	// SingleVersion is true when items must not see two versions.
	SingleVersion bool
}

// Options are the parts that a manager works with.
type Options struct {
	Engines Engines
	Fleet   *fleet.Fleet
	// Gate is asked before orders leave; nil for one that asks Fleet.
	Gate *sendgate.Gate
	// Targets returns what is to be loaded now.
	Targets func() []Target
	// Term is the time of leading in which the manager orders.
	Term lease.Term
	// Running and Demands tell what the runner does: the items that run at each engine where some do, and what
	// is asked of each model.
	Running func() map[incarnation.ID]int
	Demands func() map[string]batchrun.Demand
	// Loaded is called after an engine has loaded.
	Loaded func()
	Holder string
	Fence  int64
	Logger zerolog.Logger
}

// Manager orders loads during one term of leading.
type Manager struct {
	options Options

	mu sync.Mutex
	// loading holds what each engine is loading.
	loading map[incarnation.ID]*underway
	limiter *weightplan.Limiter
	// loadTime is the moving mean of the time until a load is reported as done.
	loadTime time.Duration
	// counts holds each engine's count of orders, as far as known.
	counts map[incarnation.ID]int64
	// retryAt holds back engines that did not take an order.
	retryAt map[incarnation.ID]time.Time
	// starts is how many starts of engines were listed when counts and retryAt were looked through last.
	starts     int64
	allocators map[string]*weightplan.Allocator
	demands    map[string]float64
	// items holds the peak of each model's open items.
	items map[string]*peak.Window
	// named holds the version that was last seen named for each model.
	named map[string]int64
	wait  sync.WaitGroup
}

// underway is a load that an engine has been ordered.
type underway struct {
	model string
	since time.Time
	// together is the most loads that were under way at one time since, this one
	// included.
	together int
}

// New returns a manager for one term.
func New(options Options) *Manager {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	return &Manager{
		options:    options,
		limiter:    weightplan.NewLimiter(),
		loading:    make(map[incarnation.ID]*underway),
		counts:     make(map[incarnation.ID]int64),
		retryAt:    make(map[incarnation.ID]time.Time),
		allocators: make(map[string]*weightplan.Allocator),
		demands:    make(map[string]float64),
		items:      make(map[string]*peak.Window),
		named:      make(map[string]int64),
	}
}

// AllLoading returns the model that each engine is loading, where one is.
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

// forgetEnded drops what is known of engines that have ended, once others have started.
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

// hasEnded tells whether an engine is not listed any more.
func (m *Manager) hasEnded(engine incarnation.ID) bool {
	_, known := m.options.Fleet.Find(engine)
	return !known
}
