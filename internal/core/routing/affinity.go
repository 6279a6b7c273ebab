package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

const (
	// affinityLoadFactor bounds a cell's load relative to the mean load
	// (consistent hashing with bounded loads).
	affinityLoadFactor = 1.25
	// affinityIdleLoad is the load up to which a cell is never overloaded,
	// however low the mean is: that mean is too small to tell.
	affinityIdleLoad = 0.5
)

// AffinityIndex returns the index of the cell to which the prefix key hashes,
// or -1 if every cell is overloaded. Prompts of an overloaded cell go to the next
// cell in the key's rendezvous order, so prompts that share a key stay together.
func AffinityIndex(cells []*Cell, prefixKey uint64) int {
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
	// Leaving out the overloaded cells keeps the rendezvous order of the others.
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
