// Package weights runs the weight coordinator: for each model of the table, one
// node owns the stream orders/<model> and brings the engines to the wanted
// version through the dispatchers of their cells.
//
// The ground of its promise is the log's order together with the engines: the
// owner's epoch is the fencing token of each order, and an engine refuses an
// order with a lower token than one it has seen. So an owner that was replaced
// without knowing it, and one that can't reach the log, may go on: its orders
// either come under the newest epoch or are refused. Preferred owners, views of
// the cluster and timers serve speed only.
package weights

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

const (
	// DefaultMaxConcurrentLoads bounds the loads over all models and cells.
	DefaultMaxConcurrentLoads = 8
	// defaultInterval is the time between two looks at a model.
	defaultInterval = time.Second
	// StreamPrefix and a model's name make the name of its stream.
	StreamPrefix = "orders/"
)

// StreamName returns the name of the stream that decides who owns a model.
func StreamName(model string) string { return StreamPrefix + model }

// Options configures a Coordinator. All but MaxConcurrentLoads, Interval and
// Registerer must be set.
type Options struct {
	NodeID      string
	PeerAddress string
	Manager     *logstream.Manager
	View        cluster.View
	Announcer   cluster.Announcer
	Caller      peer.Caller
	Store       weightstore.Store
	Tables      policy.Source
	// MaxConcurrentLoads bounds the loads over all models and cells; the
	// models share it evenly, each has one at least. Zero takes the default.
	MaxConcurrentLoads int
	// Interval is the time between two looks at a model; zero takes one second.
	Interval time.Duration
	Logger   zerolog.Logger
	// Registerer takes the metrics; nil keeps them private.
	Registerer prometheus.Registerer
}

func (o Options) withDefaults() Options {
	if o.MaxConcurrentLoads <= 0 {
		o.MaxConcurrentLoads = DefaultMaxConcurrentLoads
	}
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	return o
}

// Coordinator owns the orders of some models. It is safe for concurrent use.
type Coordinator struct {
	options    Options
	metrics    *metrics
	preference preference

	mu       sync.Mutex
	running  bool
	draining bool
	// runners has one entry for each model of the table.
	runners map[string]*runner
	owned   map[string]int64
}

// New returns a Coordinator that does nothing before Run.
func New(options Options) *Coordinator {
	options = options.withDefaults()
	return &Coordinator{
		options: options,
		metrics: newMetrics(options.Registerer),
		runners: make(map[string]*runner),
		owned:   make(map[string]int64),
	}
}

// Run follows the table until ctx ends. It does not release what it owns: call
// Drain before ctx ends for a planned stop.
func (c *Coordinator) Run(ctx context.Context) error {
	if err := c.begin(); err != nil {
		return err
	}
	var active sync.WaitGroup
	defer active.Wait()
	for {
		table := c.options.Tables.Table()
		changed := c.options.Tables.Changed(table.Revision)
		c.reconcile(ctx, &active, targets(table, c.options.Logger))
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Coordinator) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		return errors.New("weight coordinator: Run was called twice")
	}
	c.running = true
	return nil
}

// reconcile has a runner for each model of the table, and no other.
func (c *Coordinator) reconcile(ctx context.Context, active *sync.WaitGroup, wanted map[string]target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return
	}
	share := max(1, c.options.MaxConcurrentLoads/max(1, len(wanted)))
	for model, current := range wanted {
		existing, found := c.runners[model]
		if !found {
			existing = newRunner(c, model)
			c.runners[model] = existing
			active.Go(func() { existing.run(ctx) })
		}
		existing.setTarget(current, share)
	}
	for model, existing := range c.runners {
		if _, found := wanted[model]; !found {
			existing.stop()
			delete(c.runners, model)
		}
	}
}

// Drain stops giving orders and releases the owned streams, all at once, so
// that others can claim them at once. While the log is down the releases are
// tried for a few seconds only: the streams are then claimed once this node is
// known to be gone. It returns ctx's error when that ends first.
func (c *Coordinator) Drain(ctx context.Context) error {
	runners := c.takeRunners()
	for _, existing := range runners {
		existing.stop()
	}
	for _, existing := range runners {
		select {
		case <-existing.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (c *Coordinator) takeRunners() []*runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	taken := make([]*runner, 0, len(c.runners))
	for model, existing := range c.runners {
		taken = append(taken, existing)
		delete(c.runners, model)
	}
	return taken
}

// setOwned notes the epoch under which a model is owned, 0 for not owned, and
// tells the cluster when that changed.
func (c *Coordinator) setOwned(model string, epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[model] == epoch {
		return
	}
	if epoch == 0 {
		delete(c.owned, model)
	} else {
		c.owned[model] = epoch
	}
	c.metrics.owned.Set(float64(len(c.owned)))
	c.options.Announcer.AnnounceOwned(c.ownershipsLocked())
}

// Owned returns the streams owned now, sorted by name.
func (c *Coordinator) Owned() []cluster.Ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownershipsLocked()
}
