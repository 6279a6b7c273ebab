package dispatcher

import (
	"cmp"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// cellSize is the number of engines of a cell in any zone.
type cellSize struct {
	id      message.CellID
	engines int
}

// poolCells lists the cells of each pool over all known zones, sorted by zone and index.
type poolCells map[string][]cellSize

// newPoolCells combines the listed cells of this zone with the announced cells of all zones. The
// digest of an announced cell takes precedence, because nodes of other zones see only that, unless it
// reports no engines for a listed cell.
func newPoolCells(listed map[message.CellID]cellEngines, announced []message.CellDigest) poolCells {
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
	pools := make(poolCells)
	for id, engines := range sizes {
		pools.add(id, engines)
	}
	pools.sort()
	return pools
}

func (p poolCells) add(id message.CellID, engines int) {
	p[id.Pool] = append(p[id.Pool], cellSize{id: id, engines: engines})
}

func (p poolCells) sort() {
	for _, cells := range p {
		slices.SortFunc(cells, func(a, b cellSize) int {
			return cmp.Or(cmp.Compare(a.id.Zone, b.id.Zone), cmp.Compare(a.id.Index, b.id.Index))
		})
	}
}

// cellCap returns a cell's part of a service cap, in proportion to its engines. The parts of all cells
// sum to the cap if all nodes see the same digests; while digests differ, the sum may deviate.
func (p poolCells) cellCap(row *policy.Row, cell message.CellID) int {
	total, before, own := 0, 0, 0
	for _, candidate := range p[cell.Pool] {
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
