package scale

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	// slotsPerEngine is the batch size that a hollow engine reports.
	slotsPerEngine = 16
	// downloadRetry is when an engine that the store turned away asks again.
	downloadRetry = time.Second
)

// store is the weight store as the engines see it: downloads under a rate.
type store struct {
	limiter  *rate.Limiter
	loadTime time.Duration
	refused  atomic.Uint64
}

// hollowEngine is what the bench keeps of one engine.
type hollowEngine struct {
	version uint64
	loading bool
	fence   int64
}

// hollowCell holds the engines of one cell. They outlive dispatchers.
type hollowCell struct {
	id    message.CellID
	model string
	store *store
	// orders counts the load orders that the engines accepted.
	orders *atomic.Uint64

	mu      sync.Mutex
	engines []hollowEngine
	// changes counts changes of versions, for announcements.
	changes uint64
}

// follow orders loads for a directive and returns the cell's progress.
func (c *hollowCell) follow(wanted message.Directive, floorPercent int) message.DirectiveResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	loading := 0
	for i := range c.engines {
		if c.engines[i].loading {
			loading++
		}
	}
	allowed := min(wanted.Concurrent, max(1, len(c.engines)*(100-floorPercent)/100))
	var result message.DirectiveResult
	for i := range c.engines {
		current := &c.engines[i]
		if wanted.Epoch < current.fence {
			result.StaleEpoch = max(result.StaleEpoch, current.fence)
			continue
		}
		if current.loading || current.version >= wanted.Version || loading >= allowed {
			continue
		}
		loading++
		current.loading = true
		current.fence = wanted.Epoch
		c.orders.Add(1)
		c.download(i, wanted.Version)
	}
	c.count(wanted.Version, &result)
	return result
}

// count fills in the progress; mu is held.
func (c *hollowCell) count(version uint64, result *message.DirectiveResult) {
	result.Engines = len(c.engines)
	for i := range c.engines {
		switch current := &c.engines[i]; {
		case current.loading:
			result.Loading++
		case current.version >= version:
			result.AtLeast++
		}
	}
}

// download asks the store until it allows the download; then the load runs.
func (c *hollowCell) download(index int, version uint64) {
	if !c.store.limiter.Allow() {
		c.store.refused.Add(1)
		time.AfterFunc(downloadRetry, func() { c.download(index, version) })
		return
	}
	time.AfterFunc(c.store.loadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.engines[index].loading = false
		c.engines[index].version = version
		c.changes++
	})
}

// behind counts the engines below the version.
func (c *hollowCell) behind(version uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for i := range c.engines {
		if c.engines[i].version < version {
			count++
		}
	}
	return count
}

// digest describes the cell under a load between 0 and 1 of its slots.
func (c *hollowCell) digest(load float64) message.CellDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[uint64]int)
	serving := 0
	for i := range c.engines {
		if !c.engines[i].loading {
			counts[c.engines[i].version]++
			serving++
		}
	}
	slots := serving * slotsPerEngine
	digest := message.CellDigest{
		Cell: c.id, Engines: serving, Slots: slots, Running: int(load * float64(slots)), Queued: int(load * slotsPerEngine),
	}
	for version, engines := range counts {
		held := engine.ModelVersion{Model: c.model, Version: version}
		digest.Models = append(digest.Models, message.ModelCount{ModelVersion: held, Engines: engines})
	}
	sortModels(digest.Models)
	return digest
}
