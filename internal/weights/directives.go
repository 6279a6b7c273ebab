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
	granted int
	// answered is set once the cell has answered any directive.
	answered     bool
	result       message.DirectiveResult
	lastAnswered time.Time
}

// settled reports whether all engines of the cell hold the target version.
func (p *cellProgress) settled(version uint64, wanted target) bool {
	return p.answered && p.version == version && wanted.upToDateCount(p.result) >= p.result.Engines &&
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

// runWave plans the next loads and sends the directives to the dispatchers.
func (r *runner) runWave(ctx context.Context, epoch int64, version uint64, wanted target, maxLoads int) {
	digests := r.relevantCells(wanted)
	r.trackCells(digests)
	now := time.Now()
	cells := r.plannedCells(digests, version, wanted)
	plan := r.planner.Plan(now, cells, r.limits(now, version, cells, maxLoads))
	r.warnBlocked(plan.Blocked)
	settledAfter := max(settledInterval, time.Duration(len(digests))*settledIntervalPerCell)
	var calls []*directiveCall
	for _, digest := range digests {
		progress := r.cells[digest.Cell]
		settled := progress.settled(version, wanted) && !wanted.outdated(digest, r.model, version)
		if settled && !needsRefresh(progress, digest, settledAfter) {
			continue
		}
		directive := message.Directive{
			Cell:       digest.Cell,
			Model:      r.model,
			Version:    version,
			Epoch:      epoch,
			Concurrent: plan.Allotments[digest.Cell],
		}
		calls = append(calls, &directiveCall{address: digest.Address, directive: directive, progress: progress})
	}
	r.send(ctx, calls)
	r.updateGauges(version, wanted)
}

// limits returns the limits for the next wave, from the settings and the observed
// throughput of the weight store.
func (r *runner) limits(now time.Time, version uint64, cells []weights.Cell, maxLoads int) weights.Limits {
	loading, atVersion, engines := 0, 0, 0
	for _, cell := range cells {
		loading += cell.Loading
		atVersion += cell.AtVersion
		engines += cell.Engines
	}
	if r.allAnswered(version) {
		r.storeRate.Observe(now, version, loading, atVersion)
	}
	return r.storeRate.Limits(maxLoads, engines)
}

// allAnswered reports whether every cell has answered a directive for the version.
func (r *runner) allAnswered(version uint64) bool {
	for _, progress := range r.cells {
		if !progress.answered || progress.version != version {
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
			AtVersion:    wanted.upToDateCount(progress.result),
			Loading:      progress.result.Loading,
			Broken:       progress.result.Broken,
			Absent:       absent(progress.result, digest, r.model),
			Granted:      progress.granted,
			FloorPercent: floor,
		}
		if !progress.answered || progress.version != version {
			cell.AtVersion = cell.Engines
		}
		cells = append(cells, cell)
	}
	return cells
}

// absent returns the number of engines that neither serve nor load the model:
// they never loaded it or are unreachable.
func absent(result message.DirectiveResult, digest message.CellDigest, model string) int {
	serving := 0
	for _, count := range digest.Models {
		if count.Model == model {
			serving += count.Engines
		}
	}
	return max(0, result.Engines-result.Loading-result.Broken-max(serving, result.AtLeastVersion))
}

// needsRefresh reports whether a settled cell needs another directive:
// settledAfter has passed, or its number of engines has changed.
func needsRefresh(progress *cellProgress, digest message.CellDigest, settledAfter time.Duration) bool {
	return time.Since(progress.lastAnswered) >= settledAfter || digest.Engines != progress.result.Engines
}

// send sends the directives with limited concurrency and applies the results.
func (r *runner) send(ctx context.Context, calls []*directiveCall) {
	semaphore := make(chan struct{}, maxDirectiveCalls)
	var active sync.WaitGroup
	for _, call := range calls {
		// The cell may act on the directive even if no answer arrives.
		call.progress.granted = max(call.progress.granted, call.directive.Concurrent)
		semaphore <- struct{}{}
		active.Go(func() {
			defer func() { <-semaphore }()
			r.callDispatcher(ctx, call)
		})
	}
	active.Wait()
	for _, call := range calls {
		r.applyResult(call)
	}
}

func (r *runner) callDispatcher(ctx context.Context, call *directiveCall) {
	ctx, cancel := context.WithTimeout(ctx, directiveTimeout)
	defer cancel()
	call.err = r.coordinator.options.Caller.Call(ctx, call.address, peer.MethodDirective, &call.directive, &call.result)
}

// applyResult applies the result of a directive. A cell that did not answer keeps
// its last counts and its largest allotment.
func (r *runner) applyResult(call *directiveCall) {
	if call.err != nil {
		r.countDirective(resultFailed)
		r.logger.Warn().Err(call.err).Any("cell", call.directive.Cell).Msg("directive failed")
		return
	}
	if call.result.NewerEpoch > call.directive.Epoch {
		r.countDirective(resultStale)
		r.fencedEpoch = max(r.fencedEpoch, call.result.NewerEpoch)
		r.logger.Warn().Int64("epoch", call.directive.Epoch).Int64("seen", call.result.NewerEpoch).
			Msg("directive rejected: an engine has seen a later epoch")
		return
	}
	r.countDirective(resultDelivered)
	if !call.progress.answered || call.progress.version != call.directive.Version {
		// The first counts are available, so plan the next wave immediately.
		r.signal()
	}
	call.progress.answered = true
	call.progress.version = call.directive.Version
	call.progress.granted = call.directive.Concurrent
	call.progress.result = call.result
	call.progress.lastAnswered = time.Now()
}

func (r *runner) countDirective(result string) {
	r.coordinator.metrics.directives.WithLabelValues(r.model, result).Inc()
}

// warnBlocked logs the pools in which the floor prevents any load, when the list
// of pools has changed.
func (r *runner) warnBlocked(pools []string) {
	blockedPools := strings.Join(pools, ",")
	if blockedPools != r.blockedPools && blockedPools != "" {
		r.logger.Warn().Strs("pools", pools).Msg("floor prevents any load in these pools")
	}
	r.blockedPools = blockedPools
}

// updateGauges updates the model's gauges.
func (r *runner) updateGauges(version uint64, wanted target) {
	behind, loading := 0, 0
	for _, progress := range r.cells {
		behind += max(0, progress.result.Engines-wanted.upToDateCount(progress.result))
		loading += progress.result.Loading
	}
	metrics := r.coordinator.metrics
	metrics.wanted.WithLabelValues(r.model).Set(float64(version))
	metrics.behind.WithLabelValues(r.model).Set(float64(behind))
	metrics.loading.WithLabelValues(r.model).Set(float64(loading))
}
