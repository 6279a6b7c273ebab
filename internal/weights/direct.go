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
	// directiveTimeout bounds one call to a dispatcher.
	directiveTimeout = 3 * time.Second
	// maxDirectiveCalls bounds the calls to dispatchers at once, for one model.
	maxDirectiveCalls = 32
	// settledInterval is the shortest time between two directives to a cell whose
	// engines all hold the version; they repair what a digest does not show.
	settledInterval = 5 * time.Second
	// settledPace is the time between two such directives to any cells, since a
	// model may have hundreds of cells and control traffic has a budget.
	settledPace = 250 * time.Millisecond
)

// cellProgress is what one cell last answered.
type cellProgress struct {
	// version and allotment are what the cell last confirmed.
	version uint64
	// granted is the largest allotment that it may still act on.
	granted int
	known   bool
	result  message.DirectiveResult
	asked   time.Time
}

// settled reports whether all engines of the cell hold what is wanted.
func (p *cellProgress) settled(version uint64, wanted target) bool {
	return p.known && p.version == version && wanted.placed(p.result) >= p.result.Engines &&
		p.result.Broken == 0 && p.result.Loading == 0 && p.granted == 0
}

// dispatch is one directive on its way.
type dispatch struct {
	address   string
	directive message.Directive
	progress  *cellProgress
	result    message.DirectiveResult
	err       error
}

// direct plans one wave and sends it to the dispatchers.
func (r *runner) direct(ctx context.Context, epoch int64, version uint64, wanted target, maxLoads int) {
	digests := r.relevantCells(wanted)
	r.trackCells(digests)
	now := time.Now()
	cells := r.plannedCells(digests, version, wanted)
	plan := r.planner.Plan(now, cells, r.limits(now, version, cells, maxLoads))
	r.warnBlocked(plan.Blocked)
	settledAfter := max(settledInterval, time.Duration(len(digests))*settledPace)
	var dispatches []*dispatch
	for _, digest := range digests {
		progress := r.cells[digest.Cell]
		settled := progress.settled(version, wanted) && !wanted.misplaced(digest, r.model, version)
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
		dispatches = append(dispatches, &dispatch{address: digest.Address, directive: directive, progress: progress})
	}
	r.send(ctx, dispatches)
	r.report(version, wanted)
}

// limits bounds the next wave by the settings and by what the store was seen
// to feed.
func (r *runner) limits(now time.Time, version uint64, cells []weights.Cell, maxLoads int) weights.Limits {
	running, reached, engines := 0, 0, 0
	for _, cell := range cells {
		running += cell.Loading
		reached += cell.AtVersion
		engines += cell.Engines
	}
	if r.allKnown(version) {
		r.pace.Observe(now, version, running, reached)
	}
	return r.pace.Limits(maxLoads, engines)
}

// allKnown reports whether each cell has answered for the version.
func (r *runner) allKnown(version uint64) bool {
	for _, progress := range r.cells {
		if !progress.known || progress.version != version {
			return false
		}
	}
	return true
}

// relevantCells returns the cells whose pool and zone the table gives to the model.
func (r *runner) relevantCells(wanted target) []message.CellDigest {
	var relevant []message.CellDigest
	for _, digest := range r.coordinator.options.View.Cells() {
		if _, used := wanted.floor(digest.Cell); used {
			relevant = append(relevant, digest)
		}
	}
	return relevant
}

// trackCells keeps the progress of the cells that are there, and of no other.
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

// plannedCells turns the progress into the planner's input. A cell that has not
// answered for this version counts as one that needs nothing yet: its directive
// asks for no load and learns its counts.
func (r *runner) plannedCells(digests []message.CellDigest, version uint64, wanted target) []weights.Cell {
	cells := make([]weights.Cell, 0, len(digests))
	for _, digest := range digests {
		progress := r.cells[digest.Cell]
		floor, _ := wanted.floor(digest.Cell)
		cell := weights.Cell{
			ID:           digest.Cell,
			Engines:      progress.result.Engines,
			AtVersion:    wanted.placed(progress.result),
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

// absent counts the engines that neither hold the model in service nor load it:
// they never had it, or can't be reached.
func absent(result message.DirectiveResult, digest message.CellDigest, model string) int {
	held := 0
	for _, count := range digest.Models {
		if count.Model == model {
			held += count.Engines
		}
	}
	return max(0, result.Engines-result.Loading-result.Broken-max(held, result.AtLeast))
}

// due reports whether the dispatcher of a settled cell must hear a directive
// all the same: after the time, or when the cell has changed.
func due(progress *cellProgress, digest message.CellDigest, settledAfter time.Duration) bool {
	return time.Since(progress.asked) >= settledAfter || digest.Engines != progress.result.Engines
}

// send makes the calls, a bounded number at once, and takes the answers in.
func (r *runner) send(ctx context.Context, dispatches []*dispatch) {
	places := make(chan struct{}, maxDirectiveCalls)
	var calls sync.WaitGroup
	for _, current := range dispatches {
		// The cell may act on the directive from now on, whether it answers or not.
		current.progress.granted = max(current.progress.granted, current.directive.Concurrent)
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			r.call(ctx, current)
		})
	}
	calls.Wait()
	for _, current := range dispatches {
		r.take(current)
	}
}

func (r *runner) call(ctx context.Context, current *dispatch) {
	ctx, cancel := context.WithTimeout(ctx, directiveTimeout)
	defer cancel()
	current.err = r.coordinator.options.Caller.Call(ctx, current.address, peer.MethodDirective, &current.directive, &current.result)
}

// take notes the answer to a directive. A cell that did not answer keeps its
// last counts, and all that it may have been granted.
func (r *runner) take(current *dispatch) {
	if current.err != nil {
		r.count(resultFailed)
		r.logger.Warn().Err(current.err).Any("cell", current.directive.Cell).Msg("directive was not answered")
		return
	}
	if current.result.StaleEpoch > current.directive.Epoch {
		r.count(resultStale)
		r.fencedEpoch = max(r.fencedEpoch, current.result.StaleEpoch)
		r.logger.Warn().Int64("epoch", current.directive.Epoch).Int64("seen", current.result.StaleEpoch).
			Msg("an engine has seen a later owner")
		return
	}
	r.count(resultDelivered)
	if !current.progress.known || current.progress.version != current.directive.Version {
		// Its counts are known only now, so the next wave need not wait.
		r.signal()
	}
	current.progress.known = true
	current.progress.version = current.directive.Version
	current.progress.granted = current.directive.Concurrent
	current.progress.result = current.result
	current.progress.asked = time.Now()
}

func (r *runner) count(result string) {
	r.coordinator.metrics.directives.WithLabelValues(r.model, result).Inc()
}

// warnBlocked logs when the floor alone keeps pools from loading, once for
// each change.
func (r *runner) warnBlocked(pools []string) {
	blocked := strings.Join(pools, ",")
	if blocked != r.blocked && blocked != "" {
		r.logger.Warn().Strs("pools", pools).Msg("the floor leaves no engine of the pool free to load")
	}
	r.blocked = blocked
}

// report sets the gauges of the model.
func (r *runner) report(version uint64, wanted target) {
	behind, loading := 0, 0
	for _, progress := range r.cells {
		behind += max(0, progress.result.Engines-wanted.placed(progress.result))
		loading += progress.result.Loading
	}
	metrics := r.coordinator.metrics
	metrics.wanted.WithLabelValues(r.model).Set(float64(version))
	metrics.behind.WithLabelValues(r.model).Set(float64(behind))
	metrics.loading.WithLabelValues(r.model).Set(float64(loading))
}
