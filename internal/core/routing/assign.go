package routing

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/message"
)

// CellCount returns how many cells a pool of so many engines is cut into.
func CellCount(engines int) int {
	return (engines + message.CellSize - 1) / message.CellSize
}

// AssignCells cuts the engines of one pool in one zone into cells. Each engine
// goes to its cell by rendezvous hashing, so a change in the number of cells
// from n to n+1 moves about one engine in n+1, and a change that keeps the
// number moves none. A cell holds CellSize engines on average at most, and may
// hold a few more. Engine IDs within a cell are sorted; cells without engines
// are left out.
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
// hashing: nodes that see the same members name the same owner, whatever the
// order of the list. It returns "" when there is no member.
func CellOwner(cell message.CellID, memberIDs []string) string {
	sorted := slices.Sorted(slices.Values(memberIDs))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(cellName(cell))
}

// cellName is the name under which a cell is hashed. Zone and pool names
// contain no slash, so two cells never share a name.
func cellName(cell message.CellID) string {
	return cell.Zone + "/" + cell.Pool + "/" + strconv.Itoa(cell.Index)
}
