package routing

import "math/rand/v2"

// Strategy selects among the eligible cells.
type Strategy string

// Strategies. The last three are baselines for experiments.
const (
	// StrategyDefault uses prefix affinity and falls back to StrategyPowerOfTwo.
	StrategyDefault Strategy = "default"
	// StrategyPowerOfTwo picks the better of two random cells, so that nodes
	// with the same outdated digests do not all send to one cell.
	StrategyPowerOfTwo Strategy = "power-of-two"
	// StrategyLeastLoad picks the cell with the highest score.
	StrategyLeastLoad Strategy = "least-load"
	// StrategyRoundRobin cycles through the eligible cells regardless of distance.
	StrategyRoundRobin Strategy = "round-robin"
	// StrategyOneHop picks the cell with the highest score. Requests for cells of
	// the node's own zone go to the local dispatcher instead of the cell's owner.
	StrategyOneHop Strategy = "one-hop"
)

// Valid reports whether s is a known strategy.
func (s Strategy) Valid() bool {
	switch s {
	case StrategyDefault, StrategyPowerOfTwo, StrategyLeastLoad, StrategyRoundRobin, StrategyOneHop:
		return true
	default:
		return false
	}
}

// Picker picks cells by a strategy. Its choices are deterministic for a seed. It
// is not safe for concurrent use.
type Picker struct {
	strategy Strategy
	locality Locality
	random   *rand.Rand
	// picks counts the calls of Pick under StrategyRoundRobin.
	picks int
}

// NewPicker returns a picker for a node at the locality.
func NewPicker(strategy Strategy, locality Locality, seed uint64) *Picker {
	return &Picker{
		strategy: strategy,
		locality: locality,
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Pick returns one of the cells, which must be eligible; false if there are none.
func (p *Picker) Pick(cells []*Cell, query Query) (*Cell, bool) {
	if len(cells) == 0 {
		return nil, false
	}
	if p.strategy == StrategyRoundRobin {
		p.picks++
		return cells[p.picks%len(cells)], true
	}
	near := Nearest(cells, &p.locality)
	switch p.strategy {
	case StrategyLeastLoad, StrategyOneHop:
		return highestScore(near, &p.locality), true
	case StrategyDefault:
		if index := affinityIndexOrNone(near, query.PrefixKey); index >= 0 {
			return near[index], true
		}
	}
	return betterOfTwo(near, &p.locality, p.random), true
}

func affinityIndexOrNone(cells []*Cell, prefixKey uint64) int {
	if prefixKey == 0 {
		return -1
	}
	return AffinityIndex(cells, prefixKey)
}

func highestScore(cells []*Cell, locality *Locality) *Cell {
	chosen := 0
	chosenScore := Score(cells[0], locality)
	for index := 1; index < len(cells); index++ {
		if score := Score(cells[index], locality); score > chosenScore {
			chosen, chosenScore = index, score
		}
	}
	return cells[chosen]
}

func betterOfTwo(cells []*Cell, locality *Locality, random *rand.Rand) *Cell {
	if len(cells) == 1 {
		return cells[0]
	}
	first := random.IntN(len(cells))
	second := random.IntN(len(cells) - 1)
	if second >= first {
		second++
	}
	if Score(cells[second], locality) > Score(cells[first], locality) {
		return cells[second]
	}
	return cells[first]
}
