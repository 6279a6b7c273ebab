package routing

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/message"
)

// CellCount returns the number of cells for a pool of the given number of engines.
func CellCount(engines int) int {
	return (engines + message.CellSize - 1) / message.CellSize
}

// AssignCells partitions the engines of one pool in one zone into cells by
// rendezvous hashing: growing from n to n+1 cells moves about one engine in n+1.
// Cells average at most CellSize engines; a single cell may exceed that. Engine
// IDs within a cell are sorted; empty cells are omitted.
func AssignCells(zone, pool string, engineIDs []string) map[message.CellID][]string {
	cells := make(map[message.CellID][]string)
	count := CellCount(len(engineIDs))
	if count == 0 {
		return cells
	}
	byName := make(map[string]message.CellID, count)
	names := make([]string, 0, count)
	for index := range count {
		cell := message.CellID{Zone: zone, Pool: pool, Index: index}
		name := cellName(cell)
		byName[name] = cell
		names = append(names, name)
	}
	table := rendezvous.New(names, xxhash.Sum64String)
	for _, engineID := range engineIDs {
		cell := byName[table.Lookup(engineID)]
		cells[cell] = append(cells[cell], engineID)
	}
	for _, members := range cells {
		slices.Sort(members)
	}
	return cells
}

// CellOwner returns the member that runs the cell's dispatcher, by rendezvous
// hashing. The result doesn't depend on the order of memberIDs; it is "" if
// there are no members.
func CellOwner(cell message.CellID, memberIDs []string) string {
	sorted := slices.Sorted(slices.Values(memberIDs))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(cellName(cell))
}

// cellName returns the hash key of a cell. Zone and pool names contain no
// slash, so the keys are unique.
func cellName(cell message.CellID) string {
	return cell.Zone + "/" + cell.Pool + "/" + strconv.Itoa(cell.Index)
}
