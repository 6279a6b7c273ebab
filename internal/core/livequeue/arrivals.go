package livequeue

import (
	"maps"
	"math"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// arrivalWindow is the time constant of the arrival rates. It is about as long as requests can wait before their
// deadlines.
const arrivalWindow = time.Second

// negligibleArrivals is the decayed count below which a flow is no longer followed.
const negligibleArrivals = 0.01

// flowKey names a flow of a service.
type flowKey struct {
	priority int
	name     string
}

// arrivalKey names the requests of a flow that may run in the same regions.
type arrivalKey struct {
	flowKey
	regions homes.Set
}

// arrivalRates holds the recent rate of requests of each flow, by exponentially decaying counts.
type arrivalRates struct {
	counts map[arrivalKey]arrivalCount
	// sweptAt is when negligible counts were last dropped. That is done once per window, whether requests wait or not.
	sweptAt time.Time
}

type arrivalCount struct {
	count float64
	at    time.Time
	// since is when the flow's first request arrived.
	since time.Time
}

func (a arrivalCount) decayed(now time.Time) float64 {
	return a.count * math.Exp(-max(0, now.Sub(a.at).Seconds())/arrivalWindow.Seconds())
}

func (a arrivalCount) isNegligible(now time.Time) bool { return a.decayed(now) < negligibleArrivals }

// perSecond returns the recent rate. It is zero for a flow younger than minBusyTime: its first requests tell no rate,
// and those of many tenants that begin at the same time would add up to more than the engines serve.
func (a arrivalCount) perSecond(now time.Time) float64 {
	age := now.Sub(a.since)
	if age < minBusyTime {
		return 0
	}
	return a.decayed(now) / (arrivalWindow.Seconds() * (1 - math.Exp(-age.Seconds()/arrivalWindow.Seconds())))
}

func (r *arrivalRates) record(now time.Time, entry *Entry) {
	r.sweep(now)
	key := arrivalKey{flowKey{entry.Priority, entry.Flow}, entry.Regions}
	previous, found := r.counts[key]
	if !found || previous.isNegligible(now) {
		previous = arrivalCount{at: now, since: now}
	}
	r.counts[key] = arrivalCount{count: previous.decayed(now) + 1, at: now, since: previous.since}
}

func (r *arrivalRates) sweep(now time.Time) {
	if r.counts == nil {
		r.counts, r.sweptAt = make(map[arrivalKey]arrivalCount), now
	}
	if now.Sub(r.sweptAt) < arrivalWindow {
		return
	}
	r.sweptAt = now
	maps.DeleteFunc(r.counts, func(_ arrivalKey, each arrivalCount) bool { return each.isNegligible(now) })
}

// perSecond returns the rate of the requests that are expected to be sent to the same engines before a waiting entry
// although they arrive later. A flow of the same priority does so with at most an equal share of the slots, which come
// free at the interval.
func (r *arrivalRates) perSecond(
	now time.Time, interval time.Duration, entry *Entry, overtakes func(key flowKey) bool,
) float64 {
	flows := 0
	for key, each := range r.counts {
		if key.priority == entry.Priority && overlap(key.regions, entry.Regions) && !each.isNegligible(now) {
			flows++
		}
	}
	share := 1 / (interval.Seconds() * float64(max(1, flows)))
	rate := 0.0
	for key, each := range r.counts {
		if !overtakes(key.flowKey) || !overlap(key.regions, entry.Regions) {
			continue
		}
		recent := each.perSecond(now)
		if key.priority == entry.Priority {
			recent = min(recent, share)
		}
		rate += recent
	}
	return rate
}
