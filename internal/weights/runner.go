package weights

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/weights"
	"github.com/corkpulley/corkpulley/internal/message"
)

// runner manages one model. mu guards target and maxLoads; the fields below them
// are used only by the runner's goroutine.
type runner struct {
	coordinator *Coordinator
	model       string
	logger      zerolog.Logger
	// wake triggers a round before the interval has passed.
	wake  chan struct{}
	quit  chan struct{}
	ended chan struct{}

	mu       sync.Mutex
	target   target
	maxLoads int

	ownership *ownership
	version   *versionTracker
	planner   weights.Planner
	storeRate weights.StoreRateEstimator
	cells     map[message.CellID]*cellProgress
	// fencedEpoch is the highest epoch that any engine has reported; directives of
	// lower epochs are rejected.
	fencedEpoch int64
	// blockedPools lists the pools that warnBlocked found last, separated by commas.
	blockedPools string
}

func newRunner(coordinator *Coordinator, model string) *runner {
	logger := coordinator.options.Logger.With().Str("model", model).Logger()
	return &runner{
		coordinator: coordinator,
		model:       model,
		logger:      logger,
		wake:        make(chan struct{}, 1),
		quit:        make(chan struct{}),
		ended:       make(chan struct{}),
		ownership:   newOwnership(coordinator.options, &coordinator.ownerSelector, model, logger),
		version:     newVersionTracker(coordinator.options.Store, model, logger),
		cells:       make(map[message.CellID]*cellProgress),
	}
}

// setTarget updates the target and the limit of concurrent loads.
func (r *runner) setTarget(wanted target, maxLoads int) {
	r.mu.Lock()
	r.target = wanted
	r.maxLoads = maxLoads
	r.mu.Unlock()
	r.signal()
}

// signal triggers a round before the interval has passed.
func (r *runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *runner) currentTarget() (target, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target, r.maxLoads
}

// stop makes the runner release its epoch and return. Must be called at most once.
func (r *runner) stop() { close(r.quit) }

// run manages the model until ctx is done or the runner is stopped.
func (r *runner) run(ctx context.Context) {
	defer close(r.ended)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-r.quit:
			cancel()
		case <-stopped:
		}
	}()
	r.loop(runCtx)
	if ctx.Err() == nil {
		r.ownership.release(ctx)
	}
	r.ownership.close()
	r.coordinator.setOwned(r.model, 0)
	r.coordinator.metrics.deleteModel(r.model)
}

func (r *runner) loop(ctx context.Context) {
	ticker := time.NewTicker(r.coordinator.options.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.runRound(ctx)
		select {
		case <-ticker.C:
		case <-r.wake:
		case <-ctx.Done():
		}
	}
}

// runRound acquires or checks ownership of the model, then sends directives to the cells.
func (r *runner) runRound(ctx context.Context) {
	epoch := r.ownership.acquire(ctx)
	r.coordinator.setOwned(r.model, epoch)
	if epoch == 0 {
		r.cells = make(map[message.CellID]*cellProgress)
		r.planner = weights.Planner{}
		r.coordinator.metrics.deleteModel(r.model)
		return
	}
	if epoch < r.fencedEpoch {
		return
	}
	wanted, maxLoads := r.currentTarget()
	version := r.version.get(ctx, wanted.version)
	if version == 0 {
		return
	}
	r.runWave(ctx, epoch, version, wanted, maxLoads)
}
