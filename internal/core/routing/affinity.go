package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

const (
	// affinityLoadFactor bounds how much busier than the mean a cell may be
	// and still be kept for its prefixes (consistent hashing with bounded loads).
	affinityLoadFactor = 1.25
	// affinityIdleLoad is the load under which a cell always keeps its
	// prefixes: there the mean is too small to say that one cell is crowded.
	affinityIdleLoad = 0.5
)

// Affine returns the index of the cell that prompts with the key gather at, or
// -1 when every cell is too crowded for that. A crowded cell hands its prefixes
// to the next one in the key's own order, so a group moves as one.
func Affine(cells []*Cell, prefixKey uint64) int {
	bound := max(affinityIdleLoad, affinityLoadFactor*meanLoad(cells))
	byName := make(map[string]int, len(cells))
	names := make([]string, 0, len(cells))
	for index := range cells {
		if cells[index].Load() > bound || cells[index].Free() <= 0 {
			continue
		}
		name := cellName(cells[index].Digest.Cell)
		byName[name] = index
		names = append(names, name)
	}
	if len(names) == 0 {
		return -1
	}
	// Rendezvous order over the uncrowded cells is the order over all cells
	// with the crowded ones left out.
	table := rendezvous.New(names, xxhash.Sum64String)
	return byName[table.Lookup(strconv.FormatUint(prefixKey, 16))]
}

func meanLoad(cells []*Cell) float64 {
	if len(cells) == 0 {
		return 0
	}
	occupied, slots := 0, 0
	for index := range cells {
		occupied += cells[index].Occupied()
		slots += cells[index].Digest.Slots
	}
	return float64(occupied) / float64(max(slots, 1))
}
