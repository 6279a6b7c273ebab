// Package enginespeed divides the engines of a service into a fast class and the others by their observed pace, the
// mean time between two events of an item. It performs no I/O and reads no clock; callers pass the current time.
//
// Some services run on engines of different generations. Where a quarter of the engines generates tokens twice as fast
// as the rest, long items end in time only there. Where engines are about alike, or more than half of them are fast,
// fast engines aren't scarce, and the service has no classes.
package enginespeed

import (
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// minEngines is the number of engines with observations below which there are no classes: the decile of fewer
	// paces is the pace of a single engine.
	minEngines = 8
	// fastFactor is the ratio to the lower decile of the paces up to which an engine counts as fast. Engines of one
	// generation differ by up to a third with the number of items that they run.
	fastFactor = 1.4
	// minMedianFactor is the ratio of the median to the lower decile from which a service has classes. Below it, a
	// move to a fast engine gains less than it costs. Since it exceeds fastFactor, the median engine isn't fast, and at
	// most half of the engines are.
	minMedianFactor = 1.5
	// firstHold is how long the pace of an engine without a class must have been on one side before the engine gets
	// its class: a new leader has classes soon, but not from paces that change several times a second.
	firstHold = time.Second
	// changeHold is how long a pace must have stayed on the other side before a class changes. Slowdowns of a
	// fraction of a second are normal.
	changeHold = 3 * time.Second
)

// Classes are the classes of a service's engines at some time. They are not modified once returned.
type Classes struct {
	// Fast holds the fast engines.
	Fast map[incarnation.ID]bool
	// Others is the number of engines with observations that aren't fast.
	Others int
	// FastPace is the lower decile of all paces, which is the pace of the fast class, MedianPace the median of all
	// paces and OtherPace the median pace of the engines that aren't fast.
	FastPace, MedianPace, OtherPace time.Duration
}

// IsFast reports whether an engine is in the fast class; false if there are no classes.
func (c *Classes) IsFast(engine incarnation.ID) bool { return c != nil && c.Fast[engine] }

// Classifier keeps the classes of the engines of one service. A class changes only after the pace has stayed on the
// other side for changeHold.
type Classifier struct {
	engines map[incarnation.ID]*membership
	// divided is true while the service has classes; mismatch is since when the paces say otherwise.
	divided  bool
	mismatch time.Time
	classes  *Classes
}

// membership is the class of an engine.
type membership struct {
	// classified is false until the engine has its first class.
	classified bool
	fast       bool
	// side is the side on which the latest pace lies, since the time since when paces lie on it.
	side  bool
	since time.Time
}

// New returns a classifier without engines.
func New() *Classifier { return &Classifier{engines: make(map[incarnation.ID]*membership)} }

// Classes returns the classes as of the latest update; nil if there are none.
func (c *Classifier) Classes() *Classes { return c.classes }

// Update classifies the engines by their paces and reports whether the set of fast engines has changed. Engines without
// a pace are dropped. Zero paces are ignored.
func (c *Classifier) Update(now time.Time, paces map[incarnation.ID]time.Duration) (changed bool) {
	before := c.classes
	maps.DeleteFunc(c.engines, func(engine incarnation.ID, _ *membership) bool { return paces[engine] <= 0 })
	sorted := make([]time.Duration, 0, len(paces))
	for _, pace := range paces {
		if pace > 0 {
			sorted = append(sorted, pace)
		}
	}
	if len(sorted) < minEngines {
		c.divided, c.mismatch = false, time.Time{}
		c.reset()
		return before != nil
	}
	slices.Sort(sorted)
	decile, median := sorted[len(sorted)/10], sorted[len(sorted)/2]
	limit := time.Duration(fastFactor * float64(decile))
	wanted := float64(median) >= minMedianFactor*float64(decile)
	if c.updateDivided(now, wanted); !c.divided && !wanted {
		c.reset()
		return before != nil
	}
	c.updateEngines(now, paces, limit)
	c.classes = c.build(paces, decile, median)
	return !sameFast(before, c.classes)
}

// reset drops all classes, so that engines get their first class anew: where engines are alike, which of them are within
// the limit says nothing.
func (c *Classifier) reset() {
	clear(c.engines)
	c.classes = nil
}

// updateEngines updates the class of each engine. Paces up to the limit are on the fast side.
func (c *Classifier) updateEngines(now time.Time, paces map[incarnation.ID]time.Duration, limit time.Duration) {
	for engine, pace := range paces {
		if pace <= 0 {
			continue
		}
		side := pace <= limit
		member, known := c.engines[engine]
		if !known {
			member = &membership{side: side, since: now}
			c.engines[engine] = member
		}
		if member.side != side {
			member.side, member.since = side, now
		}
		hold := firstHold
		if member.classified {
			hold = changeHold
		}
		if now.Sub(member.since) >= hold {
			member.classified, member.fast = true, side
		}
	}
}

// updateDivided updates whether the service has classes, given whether the current paces call for them.
func (c *Classifier) updateDivided(now time.Time, wanted bool) {
	if c.divided == wanted {
		c.mismatch = time.Time{}
		return
	}
	if c.mismatch.IsZero() {
		c.mismatch = now
	}
	hold := firstHold
	if c.divided {
		hold = changeHold
	}
	if now.Sub(c.mismatch) >= hold {
		c.divided, c.mismatch = wanted, time.Time{}
	}
}

// build returns the classes; nil if the service has none.
func (c *Classifier) build(paces map[incarnation.ID]time.Duration, decile, median time.Duration) *Classes {
	if !c.divided {
		return nil
	}
	classes := &Classes{Fast: make(map[incarnation.ID]bool), FastPace: decile, MedianPace: median}
	others := make([]time.Duration, 0, len(c.engines))
	for engine, member := range c.engines {
		switch {
		case member.fast:
			classes.Fast[engine] = true
		case member.classified:
			others = append(others, paces[engine])
		}
	}
	if len(classes.Fast) == 0 || len(others) == 0 {
		return nil
	}
	slices.Sort(others)
	classes.Others, classes.OtherPace = len(others), others[len(others)/2]
	return classes
}

// sameFast reports whether two classifications have the same fast engines.
func sameFast(a, b *Classes) bool {
	if a == nil || b == nil {
		return a == b
	}
	return maps.Equal(a.Fast, b.Fast)
}
