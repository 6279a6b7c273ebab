package scheduler

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
)

// Defaults of Config.
const (
	// DefaultQueueLimit is the maximum number of queued items per class.
	DefaultQueueLimit = 2048
	// DefaultStarvationBound is how long a class may go unserved before it gets the
	// next free slot.
	DefaultStarvationBound = 2 * time.Second
	// DefaultLiveReserve is the share of the slots reserved for live services while
	// they use the pool; see docs/design/scheduling.md.
	DefaultLiveReserve = 0.15
)

const (
	// A service at its cap may queue up to capQueueFactor times the cap, and at
	// least capQueueMinimum items.
	capQueueFactor  = 8
	capQueueMinimum = 64
	// The RetryAfter of a full queue is the estimated time until one part in
	// retryDrainDivisor of the queue has drained.
	retryDrainDivisor = 10
)

// Config are the settings of a Cell; zero values take the defaults.
type Config struct {
	Policy Policy
	// Seed breaks ties between engines of equal score.
	Seed uint64
	// QueueLimit bounds the queued items per class (1 or more).
	QueueLimit int
	// StarvationBound is how long a class may go unserved before it gets the next
	// free slot.
	StarvationBound time.Duration
	Weights         Weights
	// Prefixes is the index of cached prefixes, or nil. The cell updates it with
	// each assignment.
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
