package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

const (
	// waitReportInterval is the time between two reports of why items wait.
	waitReportInterval = time.Second
	// longWait is how long an item waits before the reason is logged.
	longWait = 2 * time.Second
)

// reportWaits reports the waiting items by reason and logs those that have waited for long.
func (r *Runner) reportWaits(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.waitsReportedAt) < waitReportInterval {
		return
	}
	r.waitsReportedAt = now
	if r.options.OnWaits != nil {
		r.options.OnWaits(r.plan.WaitCounts(now))
	}
	long := r.plan.LongWaits(now, longWait)
	if len(long) == 0 {
		return
	}
	capacity := r.capacityByService(now)
	for _, waiting := range long {
		r.logLongWait(now, waiting, capacity[waiting.Item.Service])
	}
}

// serviceCapacity describes the engines of a service that may run items.
type serviceCapacity struct {
	engines, usable  int
	slots, freeSlots int
}

// capacityByService returns the capacity of the services that open jobs use. Must be called with mu held.
func (r *Runner) capacityByService(now time.Time) map[string]serviceCapacity {
	services := make(map[string]serviceCapacity)
	for _, engine := range r.engineViews(now) {
		capacity := services[engine.Service]
		capacity.engines++
		if engine.Usable {
			capacity.usable++
			capacity.slots += engine.Slots
			capacity.freeSlots += max(0, engine.Slots-r.plan.Running(engine.ID))
		}
		services[engine.Service] = capacity
	}
	return services
}

// logLongWait logs why an item has waited for long. Must be called with mu held.
func (r *Runner) logLongWait(now time.Time, waiting batchplan.WaitingItem, capacity serviceCapacity) {
	item := &waiting.Item
	job := r.jobs[item.Key.Job]
	if job == nil {
		return
	}
	r.options.Logger.Info().Str("job", item.Key.Job).Str("item", job.record.Items[item.Key.Item].ID).
		Stringer("wait_reason", waiting.Wait.Reason).Dur("idle_ms", now.Sub(item.WaitingSince)).
		Dur("reason_ms", now.Sub(waiting.Wait.Since)).Int32("after_event", item.Events).
		Int64("same_version", item.SameVersion).Int64("min_version", item.MinVersion).Int("tokens", item.Tokens).
		Stringer("avoid", item.Avoid).Int("engines", capacity.engines).Int("usable", capacity.usable).
		Int("slots", capacity.slots).Int("free_slots", capacity.freeSlots).Msg("item waits for an engine")
}
