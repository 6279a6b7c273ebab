package scheduler

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
)

// Defaults of Config.
const (
	// DefaultQueueLimit is the number of queued items per class.
	DefaultQueueLimit = 2048
	// DefaultStarvationBound is how long a class may wait before it gets a turn.
	DefaultStarvationBound = 2 * time.Second
	// DefaultLiveReserve is the share of the slots that trainers leave free
	// while live services use the pool. Measured: docs/design/scheduling.md.
	DefaultLiveReserve = 0.15
)

const (
	// capQueueFactor and capQueueMinimum bound the items that a service may
	// queue behind its cap: factor times the cap, or the minimum if larger.
	capQueueFactor  = 8
	capQueueMinimum = 64
	// fullQueueFraction: a caller refused by a full queue is told to come back
	// when this part of the queue has drained.
	fullQueueFraction = 10
)

// Config are the settings of a Cell; zero values take the defaults.
type Config struct {
	Policy Policy
	// Seed decides between engines of equal score.
	Seed uint64
	// QueueLimit bounds the queued items of each class (1 or more).
	QueueLimit int
	// StarvationBound: a class that waited longer gets the next free slot.
	StarvationBound time.Duration
	// Weights of the engine scores.
	Weights Weights
	// Prefixes is the index of cached prefixes; nil for none. The cell records
	// what it sends there.
	Prefixes *prefixcache.Index
}

func (c Config) withDefaults() Config {
	if c.Policy == "" {
		c.Policy = PolicyDefault
	}
	if c.QueueLimit < 1 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.StarvationBound <= 0 {
		c.StarvationBound = DefaultStarvationBound
	}
	if c.Weights == (Weights{}) {
		c.Weights = DefaultWeights
	}
	return c
}
