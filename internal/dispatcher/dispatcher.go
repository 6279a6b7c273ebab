// Package dispatcher queues submitted requests for the cells of engines that this node owns, assigns
// each request to an engine, relays its answer, and resumes broken streams or continues them on
// another engine. It also carries out weight directives on the engines of its cells.
//
// Invariant: a request is reported as not executed only if no byte of it reached an engine, or if
// every engine that it reached reported that it did not run it.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// Options are the settings and dependencies of a Dispatcher. All are required except Policy (empty:
// scheduler.PolicyDefault) and Registerer (nil: metrics are kept but not registered).
type Options struct {
	// NodeID, PeerAddress ("ip:port") and Zone describe this node.
	NodeID      string
	PeerAddress string
	Zone        string
	// Registry receives the handlers of MethodSubmit, MethodDirective and MethodCellStatus; its
	// transport must not have been started yet.
	Registry     peer.Registry
	View         cluster.View
	Announcer    cluster.Announcer
	EngineList   cluster.EngineList
	EngineClient engine.Client
	Tables       policy.Source
	Policy       scheduler.Policy
	Logger       zerolog.Logger
	Registerer   prometheus.Registerer
}

// Dispatcher owns the cells that rendezvous hashing assigns to this node. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	options Options
	metrics *metrics
	// baseContext is the parent context of all tasks and engine links; stop cancels it.
	baseContext context.Context
	stop        context.CancelFunc
	// sequence numbers the cell digests of this process.
	sequence atomic.Uint64
	linger   time.Duration
	// wake interrupts the long tick interval of an idle dispatcher.
	wake chan struct{}

	mutex     sync.Mutex
	cells     map[message.CellID]*cell
	assigned  map[message.CellID]cellEngines
	poolCells poolCells
	draining  bool

	// reconcileMutex serializes reconcile and guards the two fields below. It is acquired before
	// mutex.
	reconcileMutex sync.Mutex
	reconciledAt   time.Time
	zoneCells      zoneCells

	// startMutex guards stopped, which is set when Run ends; no goroutine starts after that. running
	// counts the started ones.
	startMutex sync.Mutex
	stopped    bool
	running    sync.WaitGroup
}

// New returns a dispatcher and registers its handlers. They answer at once, but deadlines and
// intervals are only processed while Run is running.
func New(options Options) *Dispatcher {
	baseContext, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		options:     options,
		metrics:     newMetrics(options.Registerer),
		baseContext: baseContext,
		stop:        stop,
		linger:      lingerTimeout,
		wake:        make(chan struct{}, 1),
		cells:       make(map[message.CellID]*cell),
	}
	options.Registry.HandleStream(peer.MethodSubmit, d.handleSubmit)
	options.Registry.HandleCall(peer.MethodDirective, d.handleDirective)
	options.Registry.HandleCall(peer.MethodCellStatus, d.handleCellStatus)
	return d
}

// Run processes the engine list, the cluster members and timers until ctx ends, then cancels all
// running work and waits for it. It always returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	reconciled := time.Now()
	d.reconcile(reconciled)
	next := tickInterval
	timer := time.NewTimer(next)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case now := <-timer.C:
			if now.Sub(reconciled) >= reconcileInterval {
				d.reconcile(now)
				reconciled = now
			}
			next = d.tick(now)
			timer.Reset(next)
		case <-d.wake:
			// Don't reset a short interval: frequent requests would postpone the tick indefinitely.
			if next > tickInterval {
				next = tickInterval
				timer.Reset(next)
			}
		case <-ctx.Done():
		}
	}
	d.startMutex.Lock()
	d.stopped = true
	d.startMutex.Unlock()
	d.stop()
	d.running.Wait()
	return nil
}

// tick runs the periodic work of all cells and returns the time until the next tick. The interval is
// long while no cell has a request, to save the processor time of idle wake-ups.
func (d *Dispatcher) tick(now time.Time) time.Duration {
	next := reconcileInterval
	for _, c := range d.allCells() {
		if c.tick(now) {
			next = tickInterval
		}
		c.announce(now)
	}
	return next
}

// wakeUp shortens a long tick interval after a request has arrived.
func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// start runs work in a goroutine that Run waits for. It returns false if Run has ended.
func (d *Dispatcher) start(work func()) bool {
	d.startMutex.Lock()
	defer d.startMutex.Unlock()
	if d.stopped {
		return false
	}
	d.running.Go(work)
	return true
}

// Drain prepares a graceful shutdown: new submissions, and queued ones that never reached an engine,
// fail with Draining (not executed). It returns nil once all active streams have ended and been
// relayed, or the error of ctx. Run must keep running meanwhile.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mutex.Lock()
	d.draining = true
	d.mutex.Unlock()
	for _, c := range d.allCells() {
		c.drain()
	}
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for d.busy() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Dispatcher) busy() bool {
	for _, c := range d.allCells() {
		if c.busy() {
			return true
		}
	}
	return false
}
