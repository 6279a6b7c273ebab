package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// call returns the call that runs an item from its start.
func (j *openJob) call(index int) Call {
	return Call{
		ItemID: j.record.Items[index].ID, Tenant: j.record.Tenant, Host: j.record.Host, Payload: j.payloads[index],
	}
}

// holdIfQuarantined keeps an item out of the plan until its quarantine ends, and reports whether the item is
// quarantined. Must be called with mu held.
func (r *Runner) holdIfQuarantined(job *openJob, key batchplan.Key, status quarantine.Status) bool {
	if !status.ItemHeld(time.Now()) {
		return false
	}
	r.options.Logger.Warn().Str("job", key.Job).Str("item", job.record.Items[key.Item].ID).
		Stringer("fingerprint", job.call(key.Item).fingerprint()).Int("crashes", status.Crashes).
		Time("held_until", status.HeldUntil).Msg("item quarantined")
	r.quarantinedUntil[key] = status.HeldUntil
	return true
}

// requeueReleased queues the items whose quarantine has ended.
func (r *Runner) requeueReleased(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, until := range r.quarantinedUntil {
		job := r.jobs[key.Job]
		if job != nil && now.Before(until) {
			continue
		}
		delete(r.quarantinedUntil, key)
		if job != nil && !job.items[key.Item].Ended() {
			r.queueItem(job, key.Item, incarnation.ID{}, time.Time{})
		}
	}
}
