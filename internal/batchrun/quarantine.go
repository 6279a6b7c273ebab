package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// call returns the call of an item from its start.
func (j *openJob) call(index int) Call {
	return Call{
		ItemID: j.record.Items[index].ID, Tenant: j.record.Tenant, Host: j.record.Host, Payload: j.payloads[index],
	}
}

// quarantine keeps an item out of the plan while it is kept away from engines, and tells
// whether it is. It may not be given up before its time, so it waits for that or for the
// end of its job; mu is held.
func (r *Runner) quarantine(job *openJob, key batchplan.Key, standing quarantine.Standing) bool {
	if !standing.ItemHeld(time.Now()) {
		return false
	}
	r.options.Logger.Warn().Str("job", key.Job).Str("item", job.record.Items[key.Item].ID).
		Stringer("fingerprint", job.call(key.Item).fingerprint()).Int("crashes", standing.Crashes).
		Time("held_until", standing.HeldUntil).Msg("item kept away from engines")
	r.quarantined[key] = standing.HeldUntil
	return true
}

// queueReleased queues the items that were kept away for long enough.
func (r *Runner) queueReleased(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, until := range r.quarantined {
		job := r.jobs[key.Job]
		if job != nil && now.Before(until) {
			continue
		}
		delete(r.quarantined, key)
		if job != nil && !job.items[key.Item].Ended() {
			r.queueItem(job, key.Item, incarnation.ID{}, time.Time{})
		}
	}
}
