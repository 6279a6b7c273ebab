// Package weights implements the weight coordinator: for each model of the table,
// one node owns the stream orders/<model> and brings the engines to the target
// version through the dispatchers of their cells.
//
// Correctness rests on the order of the log and on fencing by the engines: the
// owner's epoch is the fencing token of each directive, and an engine rejects a
// directive whose token is lower than one it has seen. An owner that has not
// noticed its replacement, or that can't reach the log, may therefore keep sending
// directives. Preferred owners, cluster views and timers only affect how fast
// ownership moves.
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
	// DefaultMaxConcurrentLoads is the default limit of concurrent loads over all models and cells.
	DefaultMaxConcurrentLoads = 8
	// defaultInterval is the default time between rounds for a model.
	defaultInterval = time.Second
	// StreamPrefix is the prefix of stream names; the model's name follows.
	StreamPrefix = "orders/"
)

// StreamName returns the name of the stream that determines the owner of a model.
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
	// MaxConcurrentLoads limits the concurrent loads over all models and cells. It
	// is divided evenly among the models, with at least one load each. Zero means
	// DefaultMaxConcurrentLoads.
	MaxConcurrentLoads int
	// Interval is the time between rounds for a model; zero means one second.
	Interval time.Duration
	Logger   zerolog.Logger
	// Registerer registers the metrics; with nil they are not exported.
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

// Coordinator sends the weight directives for the models that this node owns. It
// is safe for concurrent use.
type Coordinator struct {
	options       Options
	metrics       *metrics
	ownerSelector ownerSelector

	mu       sync.Mutex
	running  bool
	draining bool
	// runners has one entry for each model of the table.
	runners map[string]*runner
	owned   map[string]int64
}

// New returns a Coordinator; Run starts it.
func New(options Options) *Coordinator {
	options = options.withDefaults()
	return &Coordinator{
		options: options,
		metrics: newMetrics(options.Registerer),
		runners: make(map[string]*runner),
		owned:   make(map[string]int64),
	}
}

// Run manages the models of the table until ctx is done. It does not release the
// owned streams: for a graceful shutdown, call Drain before canceling ctx.
func (c *Coordinator) Run(ctx context.Context) error {
	if err := c.markRunning(); err != nil {
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

func (c *Coordinator) markRunning() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		return errors.New("weight coordinator: Run was called twice")
	}
	c.running = true
	return nil
}

// reconcile starts runners for new models and stops those of removed models.
func (c *Coordinator) reconcile(ctx context.Context, active *sync.WaitGroup, wanted map[string]target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return
	}
	share := max(1, c.options.MaxConcurrentLoads/max(1, len(wanted)))
	for model, current := range wanted {
		modelRunner, found := c.runners[model]
		if !found {
			modelRunner = newRunner(c, model)
			c.runners[model] = modelRunner
			active.Go(func() { modelRunner.run(ctx) })
		}
		modelRunner.setTarget(current, share)
	}
	for model, modelRunner := range c.runners {
		if _, found := wanted[model]; !found {
			modelRunner.stop()
			delete(c.runners, model)
		}
	}
}

// Drain stops sending directives and releases all owned streams concurrently, so
// that other nodes can claim them immediately. Each release is limited to
// releaseTimeout if the log is unavailable; other nodes then claim the streams
// when they see that this node has left. It returns ctx's error if ctx is done first.
func (c *Coordinator) Drain(ctx context.Context) error {
	runners := c.takeRunners()
	for _, modelRunner := range runners {
		modelRunner.stop()
	}
	for _, modelRunner := range runners {
		select {
		case <-modelRunner.ended:
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
	for model, modelRunner := range c.runners {
		taken = append(taken, modelRunner)
		delete(c.runners, model)
	}
	return taken
}

// setOwned sets the epoch under which a model is owned, 0 for none, and announces
// changes to the cluster.
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
	c.options.Announcer.AnnounceOwnedStreams(c.ownershipsLocked())
}

// Owned returns the owned streams, sorted by name.
func (c *Coordinator) Owned() []cluster.Ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownershipsLocked()
}
