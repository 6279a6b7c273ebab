package coordinator

import (
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// recordStepFinish stores the trainer's version if an acknowledgement finished a
// step: the trainer then trains on that step and produces a later version.
func (t *tenure) recordStepFinish(keys []ledger.SampleKey, trainerVersion uint64) {
	finished := false
	t.stream.View(func() {
		for _, key := range keys {
			counts, known := t.ledger.Counts(key.Step)
			finished = finished || (known && counts.Acknowledged == counts.Wanted)
		}
	})
	if !finished {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.finishedAtVersion = trainerVersion
}

// versionsUntilConsumed estimates how many versions the trainer will produce
// before it consumes the step's samples: one for each earlier unfinished step, and
// one if it is training on a step finished at its current version. The staleness
// bound is enforced on delivery.
func (t *tenure) versionsUntilConsumed(step string) uint64 {
	versions := uint64(0)
	t.stream.View(func() { versions = uint64(t.ledger.StepsBefore(step)) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.finishedAtVersion != 0 && t.finishedAtVersion == t.trainerVersion {
		versions++
	}
	return versions
}

// minVersion returns the lowest weight version to start a slot with, such that the
// sample is still within the staleness bound after versionsUntilConsumed further
// versions. It never exceeds the trainer's version, the newest one known to exist.
func minVersion(row policy.Row, terms ledger.FreshnessTerms, versionsUntilConsumed uint64) uint64 {
	consumedVersion := terms.TrainerVersion
	if row.Version == policy.VersionLatest {
		consumedVersion += versionsUntilConsumed
	}
	if consumedVersion <= uint64(terms.Bound) {
		return 0
	}
	return min(consumedVersion-uint64(terms.Bound), terms.TrainerVersion)
}
