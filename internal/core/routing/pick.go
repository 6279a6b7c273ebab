package routing

import "math/rand/v2"

// Strategy names a way to choose among the eligible cells.
type Strategy string

// Strategies. The last three are baselines for experiments.
const (
	// StrategyDefault gathers prompts that share a prefix at one cell and
	// falls back to StrategyPowerOfTwo.
	StrategyDefault Strategy = "default"
	// StrategyPowerOfTwo takes the better of two random cells, so that nodes
	// with the same late digests do not all run to the same cell.
	StrategyPowerOfTwo Strategy = "power-of-two"
	// StrategyLeastLoad takes the best score.
	StrategyLeastLoad Strategy = "least-load"
	// StrategyRoundRobin takes the eligible cells in turn, near or far.
	StrategyRoundRobin Strategy = "round-robin"
	// StrategyOneHop takes the best score, and the node's own dispatcher for
	// every cell of its zone.
	StrategyOneHop Strategy = "one-hop"
)

// Valid reports whether the strategy is one of the list.
func (s Strategy) Valid() bool {
	switch s {
	case StrategyDefault, StrategyPowerOfTwo, StrategyLeastLoad, StrategyRoundRobin, StrategyOneHop:
		return true
	default:
		return false
	}
}

// Picker chooses cells. Pickers with the same seed make the same choices. It is
// not safe for concurrent use.
type Picker struct {
	strategy Strategy
	locality Locality
	random   *rand.Rand
	// turn counts the choices, for StrategyRoundRobin.
	turn int
}

// NewPicker returns a picker for a node that stands at the locality.
func NewPicker(strategy Strategy, locality Locality, seed uint64) *Picker {
	return &Picker{
		strategy: strategy,
		locality: locality,
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Pick chooses one of the eligible cells; false when there is none.
func (p *Picker) Pick(cells []*Cell, query Query) (*Cell, bool) {
	if len(cells) == 0 {
		return nil, false
	}
	if p.strategy == StrategyRoundRobin {
		p.turn++
		return cells[p.turn%len(cells)], true
	}
	near := Nearest(cells, &p.locality)
	switch p.strategy {
	case StrategyLeastLoad, StrategyOneHop:
		return best(near, &p.locality), true
	case StrategyDefault:
		if index := affineIndex(near, query.PrefixKey); index >= 0 {
			return near[index], true
		}
	}
	return powerOfTwo(near, &p.locality, p.random), true
}

func affineIndex(cells []*Cell, prefixKey uint64) int {
	if prefixKey == 0 {
		return -1
	}
	return Affine(cells, prefixKey)
}

func best(cells []*Cell, locality *Locality) *Cell {
	chosen := 0
	chosenScore := Score(cells[0], locality)
	for index := 1; index < len(cells); index++ {
		if score := Score(cells[index], locality); score > chosenScore {
			chosen, chosenScore = index, score
		}
	}
	return cells[chosen]
}

func powerOfTwo(cells []*Cell, locality *Locality, random *rand.Rand) *Cell {
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
