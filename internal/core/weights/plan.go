// Package weights plans the rollout of a weight version to the engines of a model
// in waves. It performs no I/O and reads no clock: from counts, limits and the time
// it computes each cell's allotment, the number of loads it may run concurrently.
//
// Invariants, as far as the reported counts are accurate:
//   - the loads that cells may run add up to at most Limits.MaxConcurrent;
//   - of the healthy engines, at least the floor stays in service.
//
// Both hold even if a cell acts late on an earlier allotment: granted loads count
// as running until the cell confirms a lower allotment. They bound load and latency;
// correctness of requests doesn't depend on them.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Cell is the state of one cell with respect to the target version.
type Cell struct {
	ID message.CellID
	// Engines counts all engines of the cell, AtVersion those that need no load:
	// exactly at the target version if it is pinned, otherwise at it or above.
	// Loading, Broken (a load failed) and Absent (out of service for the model
	// for another reason) count disjoint sets of the others. The remaining engines
	// are in service at an older version, or above a pinned one.
	Engines, AtVersion, Loading, Broken, Absent int
	// Granted is the largest allotment that the cell may still act on.
	Granted int
	// FloorPercent is the percentage of the pool's engines, 0..100, that must stay
	// in service; see FloorEngines.
	FloorPercent int
}

// behind returns the number of engines that are not at the target version.
func (c Cell) behind() int { return max(0, c.Engines-c.AtVersion) }

// maxLoading returns the maximum number of loads that may be running in the cell.
func (c Cell) maxLoading() int { return max(c.Loading, c.Granted) }

// unavailable returns the number of engines that are out of service and not loading.
// Loading them doesn't reduce capacity.
func (c Cell) unavailable() int { return c.Broken + c.Absent }

// maxUnavailable returns the maximum number of engines that may be out of service.
// A dispatcher loads its unavailable engines first.
func (c Cell) maxUnavailable() int { return max(c.Loading+c.unavailable(), c.Granted) }

// Limits bound the loads of one model.
type Limits struct {
	// MaxConcurrent bounds the concurrent loads, 1 or more.
	MaxConcurrent int
	// StoreRate is the store's throughput in downloads per second and LoadDuration
	// the typical duration of a load; zero if unknown. Their product bounds the
	// concurrent loads (Little's law).
	StoreRate    float64
	LoadDuration time.Duration
}

// concurrency returns the maximum number of concurrent loads, at least 1.
func (l Limits) concurrency() int {
	limit := max(1, l.MaxConcurrent)
	if l.StoreRate <= 0 || l.LoadDuration <= 0 {
		return limit
	}
	byStore := int(l.StoreRate * l.LoadDuration.Seconds())
	return min(limit, max(1, byStore))
}

// Plan is the result of Planner.Plan.
type Plan struct {
	// Allotments maps each cell to the number of loads it may run concurrently.
	Allotments map[message.CellID]int
	// Blocked lists the pools that can't progress toward the target version only
	// because of their floor.
	Blocked []string
}

// Planner plans successive waves and keeps the backoff state of cells with failed
// or stalled loads. The zero value is ready to use. It is not safe for concurrent use.
type Planner struct {
	backoffs map[message.CellID]cellBackoff
}

// Plan computes the allotments. The cells must have distinct IDs.
func (p *Planner) Plan(now time.Time, cells []Cell, limits Limits) Plan {
	p.observe(now, cells)
	ordered := slices.Clone(cells)
	slices.SortFunc(ordered, mostBehindFirst)
	wave := newWave(ordered, limits.concurrency())
	wave.retain(func(cell Cell) bool { return p.backingOff(now, cell.ID) })
	wave.allocate(func(cell Cell) bool { return p.backingOff(now, cell.ID) })
	return Plan{Allotments: wave.allotments, Blocked: wave.blocked()}
}

// mostBehindFirst orders cells by descending number of engines behind, then by ID.
func mostBehindFirst(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(b.behind(), a.behind()),
		cmp.Compare(a.ID.Zone, b.ID.Zone),
		cmp.Compare(a.ID.Pool, b.ID.Pool),
		cmp.Compare(a.ID.Index, b.ID.Index),
	)
}

// wave is the working state of one plan.
type wave struct {
	cells      []Cell
	allotments map[message.CellID]int
	// freeLoads is the number of additional loads allowed; negative if too many run.
	freeLoads int
	// headroom is, per pool, the number of healthy engines that may still leave
	// service; negative if failures outside the rollout violate the floor.
	headroom map[string]int
}

func newWave(cells []Cell, concurrency int) *wave {
	w := &wave{
		cells:      cells,
		allotments: make(map[message.CellID]int, len(cells)),
		freeLoads:  concurrency,
		headroom:   make(map[string]int),
	}
	engines := make(map[string]int)
	floor := make(map[string]int)
	for _, cell := range cells {
		pool := cell.ID.Pool
		engines[pool] += cell.Engines
		floor[pool] = max(floor[pool], cell.FloorPercent)
		w.freeLoads -= cell.maxLoading()
		w.headroom[pool] -= cell.maxUnavailable()
	}
	for pool, total := range engines {
		w.headroom[pool] += total - FloorEngines(total, floor[pool])
	}
	return w
}

// retain sets each cell's allotment to the part of its earlier one that it keeps.
// The rest becomes free in a later plan, once the cell has confirmed the reduction.
func (w *wave) retain(backingOff func(Cell) bool) {
	for _, cell := range w.cells {
		kept := min(cell.maxLoading(), cell.behind())
		if backingOff(cell) {
			kept = 0
		}
		if w.freeLoads < 0 || w.headroom[cell.ID.Pool] < 0 {
			kept = min(kept, cell.Loading)
		}
		w.allotments[cell.ID] = kept
	}
}

// allocate distributes free loads round-robin over the cells, so that the engines
// out of service are spread over the cells of a pool.
func (w *wave) allocate(backingOff func(Cell) bool) {
	for grown := true; grown && w.freeLoads > 0; {
		grown = false
		for _, cell := range w.cells {
			if !backingOff(cell) && w.allocateOne(cell) {
				grown = true
			}
		}
	}
}

// allocateOne adds one load to the cell's allotment if the cell needs it and the
// limits allow it.
func (w *wave) allocateOne(cell Cell) bool {
	allotted := w.allotments[cell.ID]
	if w.freeLoads < 1 || allotted >= cell.behind() || allotted < cell.maxLoading() {
		return false
	}
	usesUnavailable := allotted-cell.Loading < cell.unavailable()
	if !usesUnavailable {
		if w.headroom[cell.ID.Pool] < 1 {
			return false
		}
		w.headroom[cell.ID.Pool]--
	}
	w.freeLoads--
	w.allotments[cell.ID]++
	return true
}

// blocked returns the sorted names of the pools blocked only by their floor.
func (w *wave) blocked() []string {
	needsLoad := make(map[string]bool)
	progressing := make(map[string]bool)
	for _, cell := range w.cells {
		pool := cell.ID.Pool
		needsLoad[pool] = needsLoad[pool] || cell.behind() > 0
		progressing[pool] = progressing[pool] || w.allotments[cell.ID] > 0 || cell.maxLoading() > 0 || cell.unavailable() > 0
	}
	var pools []string
	for pool := range needsLoad {
		if needsLoad[pool] && !progressing[pool] && w.freeLoads > 0 && w.headroom[pool] < 1 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}
