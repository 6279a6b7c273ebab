// Package weights plans how the engines of a model move to a weight version in
// waves. It has no input or output and no clock: counts, limits and the time
// come in, the number of loads that each cell may run at once goes out.
//
// Invariants, for what the planner was told:
//   - the loads that cells may run add up to at most Limits.MaxConcurrent;
//   - of the healthy engines, at least the floor stays in service.
//
// Both hold although a cell may act at any time on any allotment that it may
// have received: what was granted counts as running until a cell confirms less.
// They serve load and latency; no promise to a caller rests on them.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Cell is what is known of one cell and the wanted version.
type Cell struct {
	ID message.CellID
	// Engines counts all engines of the cell, AtVersion those that need no load:
	// at exactly the wanted version when it is pinned, else at it or above.
	// Loading, Broken (a load failed) and Absent (out of service for the model
	// otherwise) count disjoint sets of the others. The rest are in service, at
	// an older version or above a pinned one.
	Engines, AtVersion, Loading, Broken, Absent int
	// Granted is the largest allotment that the cell may still act on.
	Granted int
	// FloorPercent of the pool's engines must stay in service, 0..100; rounded
	// up, but below 100 one engine of the pool may always load.
	FloorPercent int
}

// need counts the engines that are not at the wanted version.
func (c Cell) need() int { return max(0, c.Engines-c.AtVersion) }

// outstanding is the largest number of loads that may run in the cell now.
func (c Cell) outstanding() int { return max(c.Loading, c.Granted) }

// idle counts the engines that are out of service and do not load; to load them
// costs no service.
func (c Cell) idle() int { return c.Broken + c.Absent }

// out is the largest number of engines that may be out of service now. A
// dispatcher loads its idle engines first.
func (c Cell) out() int { return max(c.Loading+c.idle(), c.Granted) }

// Limits bound the loads of one model.
type Limits struct {
	// MaxConcurrent bounds the loads that run at once, 1 or more.
	MaxConcurrent int
	// StoreRate is the number of downloads a second that the store allows, and
	// LoadDuration the usual time of a load; zero when not known. Together they
	// bound the loads that the store can feed (Little's law).
	StoreRate    float64
	LoadDuration time.Duration
}

// concurrency returns the loads that may run at once, at least 1.
func (l Limits) concurrency() int {
	limit := max(1, l.MaxConcurrent)
	if l.StoreRate <= 0 || l.LoadDuration <= 0 {
		return limit
	}
	fed := int(l.StoreRate * l.LoadDuration.Seconds())
	return min(limit, max(1, fed))
}

// Plan is the planner's decision.
type Plan struct {
	// Allotments gives for each cell how many loads it may run at once.
	Allotments map[message.CellID]int
	// Blocked lists the pools whose floor leaves no engine to load, though
	// some are below the version and nothing else holds them back.
	Blocked []string
}

// Planner plans wave after wave. It remembers failures, to back off after them.
// The zero value is ready. It is not safe for concurrent use.
type Planner struct {
	failures map[message.CellID]failure
}

// Plan decides the allotments. The cells must have different IDs.
func (p *Planner) Plan(now time.Time, cells []Cell, limits Limits) Plan {
	p.observe(now, cells)
	ordered := slices.Clone(cells)
	slices.SortFunc(ordered, mostBehindFirst)
	wave := newWave(ordered, limits.concurrency())
	wave.keep(func(cell Cell) bool { return p.waits(now, cell.ID) })
	wave.grow(func(cell Cell) bool { return p.waits(now, cell.ID) })
	return Plan{Allotments: wave.allotments, Blocked: wave.blocked()}
}

// mostBehindFirst orders cells by the number of engines not at the version.
func mostBehindFirst(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(b.need(), a.need()),
		cmp.Compare(a.ID.Zone, b.ID.Zone),
		cmp.Compare(a.ID.Pool, b.ID.Pool),
		cmp.Compare(a.ID.Index, b.ID.Index),
	)
}

// wave is the working state of one plan.
type wave struct {
	cells      []Cell
	allotments map[message.CellID]int
	// free is the number of loads that may be added; negative when too many run.
	free int
	// spare is, for each pool, the number of healthy engines that may still
	// leave service; negative when the floor is broken from outside.
	spare map[string]int
}

func newWave(cells []Cell, concurrency int) *wave {
	w := &wave{
		cells:      cells,
		allotments: make(map[message.CellID]int, len(cells)),
		free:       concurrency,
		spare:      make(map[string]int),
	}
	engines := make(map[string]int)
	floor := make(map[string]int)
	for _, cell := range cells {
		pool := cell.ID.Pool
		engines[pool] += cell.Engines
		floor[pool] = max(floor[pool], cell.FloorPercent)
		w.free -= cell.outstanding()
		w.spare[pool] -= cell.out()
	}
	for pool, total := range engines {
		w.spare[pool] += total - FloorEngines(total, floor[pool])
	}
	return w
}

// keep decides what stays of earlier allotments. What a cell loses becomes free
// only once the cell confirms it, in a later plan.
func (w *wave) keep(waits func(Cell) bool) {
	for _, cell := range w.cells {
		kept := min(cell.outstanding(), cell.need())
		if waits(cell) {
			kept = 0
		}
		if w.free < 0 || w.spare[cell.ID.Pool] < 0 {
			kept = min(kept, cell.Loading)
		}
		w.allotments[cell.ID] = kept
	}
}

// grow hands out free loads one at a time, round after round over the cells, so
// that no cell of a pool is emptied while others stand still.
func (w *wave) grow(waits func(Cell) bool) {
	for grown := true; grown && w.free > 0; {
		grown = false
		for _, cell := range w.cells {
			if !waits(cell) && w.growCell(cell) {
				grown = true
			}
		}
	}
}

// growCell adds one load to a cell, if it needs one and the limits allow it.
func (w *wave) growCell(cell Cell) bool {
	allotted := w.allotments[cell.ID]
	if w.free < 1 || allotted >= cell.need() || allotted < cell.outstanding() {
		return false
	}
	takesIdle := allotted-cell.Loading < cell.idle()
	if !takesIdle {
		if w.spare[cell.ID.Pool] < 1 {
			return false
		}
		w.spare[cell.ID.Pool]--
	}
	w.free--
	w.allotments[cell.ID]++
	return true
}

// blocked returns the pools that the floor alone holds back, sorted.
func (w *wave) blocked() []string {
	needs := make(map[string]bool)
	moves := make(map[string]bool)
	for _, cell := range w.cells {
		pool := cell.ID.Pool
		needs[pool] = needs[pool] || cell.need() > 0
		moves[pool] = moves[pool] || w.allotments[cell.ID] > 0 || cell.outstanding() > 0 || cell.idle() > 0
	}
	var pools []string
	for pool := range needs {
		if needs[pool] && !moves[pool] && w.free > 0 && w.spare[pool] < 1 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}
