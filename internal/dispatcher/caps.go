package dispatcher

import (
	"cmp"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// cellSize is a cell of any zone with the number of its engines.
type cellSize struct {
	id      message.CellID
	engines int
}

// layout lists the cells of each pool over all known zones, sorted.
type layout map[string][]cellSize

// newLayout returns the layout of the cells of this zone, by the engine list,
// and of all announced ones. Where a cell is announced its digest counts, as
// the nodes of other zones know nothing else of it.
func newLayout(listed map[message.CellID]cellEngines, announced []message.CellDigest) layout {
	sizes := make(map[message.CellID]int, len(listed)+len(announced))
	for id, engines := range listed {
		sizes[id] = len(engines)
	}
	for i := range announced {
		digest := &announced[i]
		_, own := listed[digest.Cell]
		if !own || digest.Engines > 0 {
			sizes[digest.Cell] = digest.Engines
		}
	}
	built := make(layout)
	for id, engines := range sizes {
		built.add(id, engines)
	}
	built.sort()
	return built
}

func (l layout) add(id message.CellID, engines int) {
	l[id.Pool] = append(l[id.Pool], cellSize{id: id, engines: engines})
}

func (l layout) sort() {
	for _, cells := range l {
		slices.SortFunc(cells, func(a, b cellSize) int {
			return cmp.Or(cmp.Compare(a.id.Zone, b.id.Zone), cmp.Compare(a.id.Index, b.id.Index))
		})
	}
}

// capOf returns the part of a row's cap that falls to a cell, in proportion to
// its engines. The parts of all cells that may run the service sum up to the
// cap exactly as long as all nodes see the same digests; for the moment in
// which they differ the parts may be off by as much.
func (l layout) capOf(row *policy.Row, cell message.CellID) int {
	total, before, own := 0, 0, 0
	for _, candidate := range l[cell.Pool] {
		if len(row.Zones) > 0 && !slices.Contains(row.Zones, candidate.id.Zone) {
			continue
		}
		if candidate.id == cell {
			before = total
			own = candidate.engines
		}
		total += candidate.engines
	}
	if own == 0 {
		return 0
	}
	return row.Cap*(before+own)/total - row.Cap*before/total
}
