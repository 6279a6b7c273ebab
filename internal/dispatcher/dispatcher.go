// Package dispatcher runs the one queue in front of each cell of engines that
// this node owns: it queues submitted requests, picks an engine for each,
// streams the answer back, and resumes or moves streams that break. It also
// carries out weight directives on the engines of its cells.
//
// Invariant: a request is reported as not executed only when no byte of it
// reached an engine, or when each engine it reached said that it did not run it.
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

// Options are the settings and neighbours of a Dispatcher. All are required
// except Policy (empty: scheduler.PolicyDefault) and Registerer (nil: metrics
// are kept but not registered).
type Options struct {
	// NodeID, PeerAddress ("ip:port") and Zone describe this node.
	NodeID      string
	PeerAddress string
	Zone        string
	// Registry takes the handlers of MethodSubmit, MethodDirective and
	// MethodCellStatus; its transport must not have been started yet.
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

// Dispatcher owns the cells that rendezvous hashing gives this node. Its
// methods are safe for concurrent use.
type Dispatcher struct {
	options Options
	metrics *metrics
	// base is the context of all tasks and links; stop ends it.
	base context.Context
	stop context.CancelFunc
	// sequence numbers the digests of this process.
	sequence atomic.Uint64
	linger   time.Duration
	// wake ends the long tick of a dispatcher without requests.
	wake chan struct{}

	mutex    sync.Mutex
	cells    map[message.CellID]*cell
	assigned map[message.CellID]cellEngines
	layout   layout
	draining bool

	// reconciling guards the fields of reconcile, which runs once at a time. It
	// is taken before mutex.
	reconciling  sync.Mutex
	reconciledAt time.Time
	zoneCells    zoneCells

	// goroutines guards stopped, which is set when Run ends: nothing starts
	// after that. running counts what was started.
	goroutines sync.Mutex
	stopped    bool
	running    sync.WaitGroup
}

// New returns a dispatcher and registers its handlers. They answer at once, but
// queues make no progress by time before Run.
func New(options Options) *Dispatcher {
	base, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		options: options,
		metrics: newMetrics(options.Registerer),
		base:    base,
		stop:    stop,
		linger:  lingerTimeout,
		wake:    make(chan struct{}, 1),
		cells:   make(map[message.CellID]*cell),
	}
	options.Registry.HandleStream(peer.MethodSubmit, d.handleSubmit)
	options.Registry.HandleCall(peer.MethodDirective, d.handleDirective)
	options.Registry.HandleCall(peer.MethodCellStatus, d.handleCellStatus)
	return d
}

// Run follows the engine list, the members and the clock until ctx ends, then
// cancels what still runs and waits for it. It returns nil.
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
			// A short tick goes on: many requests must not put it off.
			if next > tickInterval {
				next = tickInterval
				timer.Reset(next)
			}
		case <-ctx.Done():
		}
	}
	d.goroutines.Lock()
	d.stopped = true
	d.goroutines.Unlock()
	d.stop()
	d.running.Wait()
	return nil
}

// tick lets time pass in all cells. It returns the time to the next tick, which
// is long only while no cell has a request: most of the processor time of an
// idle node goes into waking up.
func (d *Dispatcher) tick(now time.Time) time.Duration {
	next := reconcileInterval
	for _, each := range d.allCells() {
		if each.tick(now) {
			next = tickInterval
		}
		each.announce(now)
	}
	return next
}

// wakeUp shortens a long tick, since there is a request.
func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// start runs a function in a goroutine that Run waits for; false when Run has
// ended and so nothing new may start.
func (d *Dispatcher) start(work func()) bool {
	d.goroutines.Lock()
	defer d.goroutines.Unlock()
	if d.stopped {
		return false
	}
	d.running.Go(work)
	return true
}

// Drain is the planned stop. From its call on new submissions are refused as
// not run (Draining), as are queued ones that never reached an engine. It
// returns nil when all streams in hand have ended and were relayed, or the
// error of ctx. Run must go on meanwhile.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mutex.Lock()
	d.draining = true
	d.mutex.Unlock()
	for _, each := range d.allCells() {
		each.drain()
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
	for _, each := range d.allCells() {
		if each.busy() {
			return true
		}
	}
	return false
}
