package weights

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/weights"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// directiveTimeout limits one call to a dispatcher.
	directiveTimeout = 3 * time.Second
	// maxDirectiveCalls limits the concurrent calls to dispatchers per model.
	maxDirectiveCalls = 32
	// settledInterval is the minimum time between directives to a cell whose engines
	// all hold the version. These directives detect engines whose change is missing
	// from the digest.
	settledInterval = 5 * time.Second
	// settledIntervalPerCell raises that interval in proportion to the number of
	// cells, to limit control traffic for models with hundreds of cells.
	settledIntervalPerCell = 250 * time.Millisecond
)

// cellProgress is the last known state of a cell.
type cellProgress struct {
	// version is the version of the last directive that the cell answered.
	version uint64
	// granted is the largest allotment that the cell may still act on.
	granted      int
	known        bool
	result       message.DirectiveResult
	lastAnswered time.Time
}

// settled reports whether all engines of the cell hold the target version.
func (p *cellProgress) settled(version uint64, wanted target) bool {
	return p.known && p.version == version && wanted.upToDate(p.result) >= p.result.Engines &&
		p.result.Broken == 0 && p.result.Loading == 0 && p.granted == 0
}

// directiveCall is a directive to a dispatcher and its outcome.
type directiveCall struct {
	address   string
	directive message.Directive
	progress  *cellProgress
	result    message.DirectiveResult
	err       error
}

// direct plans the next wave of loads and sends the directives to the dispatchers.
func (r *runner) direct(ctx context.Context, epoch int64, version uint64, wanted target, maxLoads int) {
	digests := r.relevantCells(wanted)
	r.trackCells(digests)
	now := time.Now()
	cells := r.plannedCells(digests, version, wanted)
	plan := r.planner.Plan(now, cells, r.limits(now, version, cells, maxLoads))
	r.warnBlocked(plan.Blocked)
	settledAfter := max(settledInterval, time.Duration(len(digests))*settledIntervalPerCell)
	var dispatches []*directiveCall
	for _, digest := range digests {
		progress := r.cells[digest.Cell]
		settled := progress.settled(version, wanted) && !wanted.outdated(digest, r.model, version)
		if settled && !due(progress, digest, settledAfter) {
			continue
		}
		directive := message.Directive{
			Cell:       digest.Cell,
			Model:      r.model,
			Version:    version,
			Epoch:      epoch,
			Concurrent: plan.Allotments[digest.Cell],
		}
		dispatches = append(dispatches, &directiveCall{address: digest.Address, directive: directive, progress: progress})
	}
	r.send(ctx, dispatches)
	r.report(version, wanted)
}

// limits returns the limits for the next wave, from the settings and the observed
// throughput of the weight store.
func (r *runner) limits(now time.Time, version uint64, cells []weights.Cell, maxLoads int) weights.Limits {
	running, reached, engines := 0, 0, 0
	for _, cell := range cells {
		running += cell.Loading
		reached += cell.AtVersion
		engines += cell.Engines
	}
	if r.allKnown(version) {
		r.storeRate.Observe(now, version, running, reached)
	}
	return r.storeRate.Limits(maxLoads, engines)
}

// allKnown reports whether every cell has answered a directive for the version.
func (r *runner) allKnown(version uint64) bool {
	for _, progress := range r.cells {
		if !progress.known || progress.version != version {
			return false
		}
	}
	return true
}

// relevantCells returns the cells whose pool and zone have a row of the model.
func (r *runner) relevantCells(wanted target) []message.CellDigest {
	var relevant []message.CellDigest
	for _, digest := range r.coordinator.options.View.Cells() {
		if _, used := wanted.floor(digest.Cell); used {
			relevant = append(relevant, digest)
		}
	}
	return relevant
}

// trackCells adds new cells and removes those that no longer exist.
func (r *runner) trackCells(digests []message.CellDigest) {
	present := make(map[message.CellID]*cellProgress, len(digests))
	for _, digest := range digests {
		progress, found := r.cells[digest.Cell]
		if !found {
			progress = &cellProgress{}
		}
		present[digest.Cell] = progress
	}
	r.cells = present
}

// plannedCells converts the progress to the planner's input. A cell that has not
// answered for this version is treated as up to date: its first directive
// allows no loads and returns its counts.
func (r *runner) plannedCells(digests []message.CellDigest, version uint64, wanted target) []weights.Cell {
	cells := make([]weights.Cell, 0, len(digests))
	for _, digest := range digests {
		progress := r.cells[digest.Cell]
		floor, _ := wanted.floor(digest.Cell)
		cell := weights.Cell{
			ID:           digest.Cell,
			Engines:      progress.result.Engines,
			AtVersion:    wanted.upToDate(progress.result),
			Loading:      progress.result.Loading,
			Broken:       progress.result.Broken,
			Absent:       absent(progress.result, digest, r.model),
			Granted:      progress.granted,
			FloorPercent: floor,
		}
		if !progress.known || progress.version != version {
			cell.AtVersion = cell.Engines
		}
		cells = append(cells, cell)
	}
	return cells
}

// absent returns the number of engines that neither serve nor load the model:
// they never loaded it or are unreachable.
func absent(result message.DirectiveResult, digest message.CellDigest, model string) int {
	held := 0
	for _, count := range digest.Models {
		if count.Model == model {
			held += count.Engines
		}
	}
	return max(0, result.Engines-result.Loading-result.Broken-max(held, result.AtLeastVersion))
}

// due reports whether a settled cell needs another directive: settledAfter has
// passed, or its number of engines has changed.
func due(progress *cellProgress, digest message.CellDigest, settledAfter time.Duration) bool {
	return time.Since(progress.lastAnswered) >= settledAfter || digest.Engines != progress.result.Engines
}

// send sends the directives with limited concurrency and applies the results.
func (r *runner) send(ctx context.Context, dispatches []*directiveCall) {
	semaphore := make(chan struct{}, maxDirectiveCalls)
	var calls sync.WaitGroup
	for _, current := range dispatches {
		// The cell may act on the directive even if no answer arrives.
		current.progress.granted = max(current.progress.granted, current.directive.Concurrent)
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			r.call(ctx, current)
		})
	}
	calls.Wait()
	for _, current := range dispatches {
		r.applyResult(current)
	}
}

func (r *runner) call(ctx context.Context, current *directiveCall) {
	ctx, cancel := context.WithTimeout(ctx, directiveTimeout)
	defer cancel()
	current.err = r.coordinator.options.Caller.Call(ctx, current.address, peer.MethodDirective, &current.directive, &current.result)
}

// applyResult applies the result of a directive. A cell that did not answer keeps
// its last counts and its largest allotment.
func (r *runner) applyResult(current *directiveCall) {
	if current.err != nil {
		r.count(resultFailed)
		r.logger.Warn().Err(current.err).Any("cell", current.directive.Cell).Msg("directive failed")
		return
	}
	if current.result.StaleEpoch > current.directive.Epoch {
		r.count(resultStale)
		r.fencedEpoch = max(r.fencedEpoch, current.result.StaleEpoch)
		r.logger.Warn().Int64("epoch", current.directive.Epoch).Int64("seen", current.result.StaleEpoch).
			Msg("directive rejected: an engine has seen a later epoch")
		return
	}
	r.count(resultDelivered)
	if !current.progress.known || current.progress.version != current.directive.Version {
		// The first counts are available, so plan the next wave immediately.
		r.signal()
	}
	current.progress.known = true
	current.progress.version = current.directive.Version
	current.progress.granted = current.directive.Concurrent
	current.progress.result = current.result
	current.progress.lastAnswered = time.Now()
}

func (r *runner) count(result string) {
	r.coordinator.metrics.directives.WithLabelValues(r.model, result).Inc()
}

// warnBlocked logs the pools in which the floor prevents any load, when the list
// of pools has changed.
func (r *runner) warnBlocked(pools []string) {
	blocked := strings.Join(pools, ",")
	if blocked != r.blocked && blocked != "" {
		r.logger.Warn().Strs("pools", pools).Msg("floor prevents any load in these pools")
	}
	r.blocked = blocked
}

// report updates the model's gauges.
func (r *runner) report(version uint64, wanted target) {
	behind, loading := 0, 0
	for _, progress := range r.cells {
		behind += max(0, progress.result.Engines-wanted.upToDate(progress.result))
		loading += progress.result.Loading
	}
	metrics := r.coordinator.metrics
	metrics.wanted.WithLabelValues(r.model).Set(float64(version))
	metrics.behind.WithLabelValues(r.model).Set(float64(behind))
	metrics.loading.WithLabelValues(r.model).Set(float64(loading))
}
