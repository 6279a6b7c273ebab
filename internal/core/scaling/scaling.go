// Package scaling determines how many engines of a service each zone should have. It has
// no input, output or clock; the time of each event is passed in.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/peak"
)

// Bounds limit the engines that may be requested for a service.
type Bounds struct {
	// Min and Max bound the number of engines in each zone.
	Min int
	Max int
	// Prices is the price of an engine per second in each zone that offers engines.
	Prices map[string]float64
	// Evacuated are the zones that are evacuated.
	Evacuated map[string]bool
}

// Demand is the load of a service at a moment.
type Demand struct {
	// Items is the number of running and waiting items.
	Items int
	// Slots is the number of items that one engine runs concurrently.
	Slots int
}

const (
	// headroom is the ratio of slots to the peak of items. When engines are removed, load weights
	// or slow down, their items need slots elsewhere.
	headroom = 1.15
	// peakPeriod is how long a peak counts. It exceeds the pause of a trainer between two steps
	// and the boot time of an engine.
	peakPeriod = 2 * time.Minute
	// settleTime is how long the number of engines must not have grown before it is used: a
	// process that has just started learns of engines one after the other, and a request for
	// the known ones would remove the others. It must exceed the interval at which engines
	// write their list entries.
	settleTime = 2500 * time.Millisecond
	// unseenPeriod is how long after the first observation a zone may have engines that were not seen yet.
	unseenPeriod = 10 * time.Second
)

// Planner sizes one service by its demand.
//
// Invariant: it never requests fewer engines in a zone than it has seen there, since it knows the
// demand of batch jobs but not that of live requests. It requests nothing for a zone above its
// bound, since a request for fewer engines would remove some, and nothing for an evacuated zone;
// substitutes for the engines there are requested in other zones.
type Planner struct {
	items peak.Window
	// maxSeen is the highest number of engines seen in each zone.
	maxSeen map[string]int
	// began is the time of the first observation, grownAt when maxSeen last grew.
	began   time.Time
	grownAt time.Time
	// substituted is the highest number of engines requested in each zone during an evacuation of
	// other zones, substitutes the total of the engines added for that. They are kept when an
	// evacuation ends and count for the next one.
	substituted map[string]int
	substitutes int
	// regular is the highest number of engines seen in all zones, excluding substitutes.
	regular int
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner {
	return &Planner{maxSeen: make(map[string]int), substituted: make(map[string]int)}
}

// Observe records the demand and the number of engines in each zone, including evacuated
// zones.
func (p *Planner) Observe(now time.Time, demand Demand, engines map[string]int) {
	if p.began.IsZero() {
		p.began, p.grownAt = now, now
	}
	for zone, count := range engines {
		if count > p.maxSeen[zone] {
			p.maxSeen[zone], p.grownAt = count, now
		}
	}
	p.regular = max(p.regular, p.seen()-p.substitutes)
	p.items.Observe(now, demand.Items, peakPeriod)
}

// Wanted returns the number of engines that each zone should have, without zones that are evacuated,
// above their bound or not known yet, see unseenPeriod; nil while the number of engines grows.
func (p *Planner) Wanted(now time.Time, bounds Bounds, slots int) map[string]int {
	if now.Sub(p.grownAt) < settleTime {
		return nil
	}
	zones := slices.DeleteFunc(zonesByPrice(bounds.Prices), func(zone string) bool {
		return bounds.Evacuated[zone] || p.maxSeen[zone] == 0 && now.Sub(p.began) < unseenPeriod
	})
	wanted := make(map[string]int, len(zones))
	for _, zone := range zones {
		wanted[zone] = max(p.maxSeen[zone], min(bounds.Min, bounds.Max))
	}
	p.fillDemand(zones, wanted, bounds.Max, slots)
	if len(bounds.Evacuated) > 0 {
		p.substitute(zones, wanted, bounds)
	}
	maps.DeleteFunc(wanted, func(zone string, count int) bool {
		// A request for the bound would remove engines above it, and one for fewer than were requested
		// with substitutes would remove engines that are still starting.
		return count > bounds.Max || count < p.substituted[zone]
	})
	return wanted
}

// fillDemand requests the engines that the peak needs. The request for a zone that grows includes the
// zone's substitutes, which the platform may not have been able to provide.
func (p *Planner) fillDemand(zones []string, wanted map[string]int, limit, slots int) {
	before := maps.Clone(wanted)
	fill(zones, wanted, limit, p.need(slots))
	for _, zone := range zones {
		if wanted[zone] > before[zone] {
			wanted[zone] = max(wanted[zone], p.substituted[zone])
		}
	}
}

// substitute requests engines in other zones until there are as many as without an evacuation.
func (p *Planner) substitute(zones []string, wanted map[string]int, bounds Bounds) {
	for _, zone := range zones {
		wanted[zone] = max(wanted[zone], p.substituted[zone])
	}
	before := maps.Clone(wanted)
	fill(zones, wanted, bounds.Max, p.regular-p.seenInOtherZones(wanted, bounds.Evacuated))
	for _, zone := range zones {
		if wanted[zone] > before[zone] {
			p.substituted[zone] = wanted[zone]
			p.substitutes += wanted[zone] - before[zone]
		}
	}
}

// seenInOtherZones returns the highest number of engines seen in zones that are neither evacuated nor in wanted.
// These engines keep serving.
func (p *Planner) seenInOtherZones(wanted map[string]int, evacuated map[string]bool) int {
	total := 0
	for zone, count := range p.maxSeen {
		if _, requested := wanted[zone]; !requested && !evacuated[zone] {
			total += count
		}
	}
	return total
}

// fill adds engines until there are as many as needed or all zones are at their limit.
func fill(zones []string, wanted map[string]int, limit, need int) {
	total := 0
	for _, count := range wanted {
		total += count
	}
	for ; total < need; total++ {
		zone, found := smallestZone(zones, wanted, limit)
		if !found {
			return
		}
		wanted[zone]++
	}
}

// seen returns the sum of maxSeen.
func (p *Planner) seen() int {
	total := 0
	for _, count := range p.maxSeen {
		total += count
	}
	return total
}

// need returns the number of engines that the items at the peak need.
func (p *Planner) need(slots int) int {
	return int(math.Ceil(headroom * float64(p.items.Max()) / float64(max(1, slots))))
}

// smallestZone returns the zone below the limit with the fewest engines, so that the loss of a zone
// affects as few as possible; of equal zones the first one, which is the cheapest.
func smallestZone(zones []string, wanted map[string]int, limit int) (string, bool) {
	smallest, found := "", false
	for _, zone := range zones {
		if wanted[zone] < limit && (!found || wanted[zone] < wanted[smallest]) {
			smallest, found = zone, true
		}
	}
	return smallest, found
}

func zonesByPrice(prices map[string]float64) []string {
	zones := make([]string, 0, len(prices))
	for zone := range prices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
	return zones
}
