package coordinator

import (
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// noteFinished notes the trainer's version at the acknowledgement that finished
// a step: the trainer then trains on it and comes back with a later version.
func (t *tenure) noteFinished(keys []ledger.SampleKey, trainerVersion uint64) {
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
	t.finishedAt = trainerVersion
}

// versionsUntil returns how many versions the trainer is expected to make before
// it takes a step's samples: one of each unfinished step before it, and one more
// while it trains on a step that it finished at its present version. It is an
// expectation only; the bound is enforced at the delivery.
func (t *tenure) versionsUntil(step string) uint64 {
	versions := uint64(0)
	t.stream.View(func() { versions = uint64(t.ledger.StepsBefore(step)) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.finishedAt != 0 && t.finishedAt == t.trainerVersion {
		versions++
	}
	return versions
}

// minVersion is the lowest weight version to start a slot under, for a sample
// that is expected to be taken after the trainer made so many versions more: one
// that is within the bound then. The trainer's own version is always enough, as
// no newer one is known to exist.
func minVersion(row policy.Row, terms ledger.Terms, versionsUntil uint64) uint64 {
	taken := terms.TrainerVersion
	if row.Version == policy.VersionLatest {
		taken += versionsUntil
	}
	if taken <= uint64(terms.Bound) {
		return 0
	}
	return min(taken-uint64(terms.Bound), terms.TrainerVersion)
}
