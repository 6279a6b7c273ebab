// Package scaling decides how many engines of a service each zone should have. It has
// no input, output or clock; every event comes with its time.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/peak"
)

// Bounds are what the configuration allows for a service.
type Bounds struct {
	// Min and Max bound the number of engines in each zone.
	Min int
	Max int
	// Prices is what a second of an engine costs in each zone where they can be had.
	Prices map[string]float64
	// Evacuated are the zones whose engines get no work at the moment.
	Evacuated map[string]bool
}

// Demand is what is asked of a service at a moment.
type Demand struct {
	// Items is the number of items that run or wait.
	Items int
	// Slots is the number of items that one engine runs at once.
	Slots int
}

const (
	// headroom is the share of places above the peak of items: engines leave, load
	// weights or turn slow, and their items need places elsewhere.
	headroom = 1.15
	// memory is the time for which a peak counts: trainers submit every few seconds and
	// pause for as long, and an engine takes seconds to start.
	memory = 2 * time.Minute
	// settleTime is how long no further engine must have come before their number is
	// believed: a process that has just started hears of them one after the other, and
	// an order for as many as it knows would have the others taken away. Engines write
	// their entries about every second.
	settleTime = 2500 * time.Millisecond
	// blindTime is how long a zone without any engine is taken for one that was not
	// heard of.
	blindTime = 10 * time.Second
)

// Planner sizes one service by the work that is due.
//
// Invariant: it asks for no fewer engines in a zone than it has seen there; of a zone with more than its
// bound it asks for nothing, since an order for fewer takes engines away. It knows of
// the work of batch jobs only, so it cannot tell which engines live requests need. Of an
// evacuated zone it asks for nothing, neither more nor fewer; the engines that are lost there
// for a while are asked for in the other zones.
type Planner struct {
	items peak.Window
	// most is the most engines seen in each zone since the planner began.
	most map[string]int
	// began is when it was first told of engines, grownAt when there were last more of
	// them in a zone than ever before.
	began   time.Time
	grownAt time.Time
	// asked is the most engines asked for in each zone in place of evacuated ones, standIns their
	// number in all. They stay when the zone returns, and stand in for the next one.
	asked    map[string]int
	standIns int
	// whole is the most engines seen in all zones, but for those that stand in.
	whole int
}

// NewPlanner returns a planner that knows of no demand.
func NewPlanner() *Planner {
	return &Planner{most: make(map[string]int), asked: make(map[string]int)}
}

// Observe takes the demand and the number of engines in each zone at a moment, those of
// evacuated zones included.
func (p *Planner) Observe(now time.Time, demand Demand, engines map[string]int) {
	if p.began.IsZero() {
		p.began, p.grownAt = now, now
	}
	for zone, count := range engines {
		if count > p.most[zone] {
			p.most[zone], p.grownAt = count, now
		}
	}
	p.whole = max(p.whole, p.seen()-p.standIns)
	p.items.Observe(now, demand.Items, memory)
}

// Wanted returns the number of engines that each zone should have; nothing of zones of
// which too little is known.
func (p *Planner) Wanted(now time.Time, bounds Bounds, slots int) map[string]int {
	if now.Sub(p.grownAt) < settleTime {
		return nil
	}
	zones := slices.DeleteFunc(zonesByPrice(bounds.Prices), func(zone string) bool {
		return bounds.Evacuated[zone] || p.most[zone] == 0 && now.Sub(p.began) < blindTime
	})
	wanted := make(map[string]int, len(zones))
	for _, zone := range zones {
		wanted[zone] = max(p.most[zone], min(bounds.Min, bounds.Max))
	}
	p.fillDemand(zones, wanted, bounds.Max, slots)
	if len(bounds.Evacuated) > 0 {
		p.standIn(zones, wanted, bounds)
	}
	maps.DeleteFunc(wanted, func(zone string, count int) bool {
		// An order for the bound would take away what is there beyond it, and one for less than was
		// asked for in place of evacuated zones what is still starting.
		return count > bounds.Max || count < p.asked[zone]
	})
	return wanted
}

// fillDemand asks for the engines that the peak needs. A zone that is to have more than it had is asked for
// what it was asked for in place of evacuated ones too, which may not have been to be had.
func (p *Planner) fillDemand(zones []string, wanted map[string]int, most, slots int) {
	before := maps.Clone(wanted)
	fill(zones, wanted, most, p.need(slots))
	for _, zone := range zones {
		if wanted[zone] > before[zone] {
			wanted[zone] = max(wanted[zone], p.asked[zone])
		}
	}
}

// standIn asks the zones for as many engines as there are without an evacuation.
func (p *Planner) standIn(zones []string, wanted map[string]int, bounds Bounds) {
	for _, zone := range zones {
		wanted[zone] = max(wanted[zone], p.asked[zone])
	}
	before := maps.Clone(wanted)
	fill(zones, wanted, bounds.Max, p.whole-p.elsewhere(wanted, bounds.Evacuated))
	for _, zone := range zones {
		if wanted[zone] > before[zone] {
			p.asked[zone] = wanted[zone]
			p.standIns += wanted[zone] - before[zone]
		}
	}
}

// elsewhere is the most engines seen in zones that are not evacuated and in which none are ordered: they
// serve on.
func (p *Planner) elsewhere(wanted map[string]int, evacuated map[string]bool) int {
	total := 0
	for zone, count := range p.most {
		if _, ordered := wanted[zone]; !ordered && !evacuated[zone] {
			total += count
		}
	}
	return total
}

// fill asks for more engines until there are as many as needed or all zones are full.
func fill(zones []string, wanted map[string]int, most, need int) {
	total := 0
	for _, count := range wanted {
		total += count
	}
	for ; total < need; total++ {
		zone, found := leastFull(zones, wanted, most)
		if !found {
			return
		}
		wanted[zone]++
	}
}

// seen is the most engines seen in all zones.
func (p *Planner) seen() int {
	total := 0
	for _, count := range p.most {
		total += count
	}
	return total
}

// need is the number of engines that the peak asks for.
func (p *Planner) need(slots int) int {
	return int(math.Ceil(headroom * float64(p.items.Most()) / float64(max(1, slots))))
}

// leastFull returns the zone with the fewest engines, so that the loss of a zone takes
// as few as possible; between equals the cheapest.
func leastFull(zones []string, wanted map[string]int, most int) (string, bool) {
	best, found := "", false
	for _, zone := range zones {
		if wanted[zone] < most && (!found || wanted[zone] < wanted[best]) {
			best, found = zone, true
		}
	}
	return best, found
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
