package scheduler

import (
	"cmp"
	"slices"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// Digest is a summary of a cell's state.
type Digest struct {
	// Engines is the number of engines in service, Slots that of their batch slots.
	Engines int
	Slots   int
	// Running and Queued count items.
	Running int
	Queued  int
	// Models counts the engines in service per model version, sorted by model and
	// version.
	Models []message.ModelCount
}

// Digest returns a summary of the current state.
func (c *Cell) Digest() Digest {
	digest := Digest{Running: len(c.running), Queued: len(c.queued)}
	counts := make(map[engine.ModelVersion]int)
	reported := 0
	for _, candidate := range c.engines {
		if !candidate.inService() {
			continue
		}
		digest.Engines++
		digest.Slots += candidate.status.MaxBatch
		reported += candidate.reportedLoad()
		for _, loaded := range candidate.status.Models {
			counts[loaded]++
		}
	}
	if c.config.Policy == PolicyOneHop {
		// Other nodes send to the same engines, so only reported load is complete.
		digest.Running = reported
	}
	for loaded, engines := range counts {
		digest.Models = append(digest.Models, message.ModelCount{ModelVersion: loaded, Engines: engines})
	}
	slices.SortFunc(digest.Models, func(a, b message.ModelCount) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return digest
}

// RunningOn returns the number of items that run on an engine.
func (c *Cell) RunningOn(engineID string) int {
	state := c.engine(engineID)
	if state == nil {
		return 0
	}
	return len(state.running)
}
