package enginespeed

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	step     = 250 * time.Millisecond
	fastPace = 28 * time.Millisecond
	slowPace = 60 * time.Millisecond
)

var start = time.Unix(1000, 0)

func id(engine int) incarnation.ID { return incarnation.ID{Engine: fmt.Sprint("e", engine)} }

// fleet returns the paces of engines of which the first ones are fast. Paces of a class differ by up to a tenth.
func fleet(count, fast int) map[incarnation.ID]time.Duration {
	paces := make(map[incarnation.ID]time.Duration)
	for i := range count {
		pace := slowPace
		if i < fast {
			pace = fastPace
		}
		paces[id(i)] = pace + time.Duration(i%10)*pace/100
	}
	return paces
}

// run updates the classifier every 250 ms from one time to another, with paces that depend on the time, and returns the
// number of changes.
func run(c *Classifier, from, until time.Duration, pacesAt func(at time.Duration) map[incarnation.ID]time.Duration) int {
	changes := 0
	for at := from; at < until; at += step {
		if c.Update(start.Add(at), pacesAt(at)) {
			changes++
		}
	}
	return changes
}

func constant(paces map[incarnation.ID]time.Duration) func(time.Duration) map[incarnation.ID]time.Duration {
	return func(time.Duration) map[incarnation.ID]time.Duration { return paces }
}

// Guards against the fault of the lower quartile, which is the pace of a slow engine where exactly a quarter is fast.
func TestExactQuarterIsFast(t *testing.T) {
	for _, count := range []int{8, 48, 100} {
		c := New()
		assert.Equal(t, run(c, 0, 2*time.Second, constant(fleet(count, count/4))), 1)
		classes := c.Classes()
		assert.Equal(t, len(classes.Fast), count/4)
		assert.Equal(t, classes.Others, count-count/4)
		for i := range count {
			assert.Equal(t, classes.IsFast(id(i)), i < count/4)
		}
		assert.Assert(t, classes.FastPace < 32*time.Millisecond && classes.MedianPace >= slowPace && classes.OtherPace >= slowPace)
	}
}

// Guards against classes where fast engines aren't scarce, or where too little is known.
func TestNoClassesWhereFastEnginesAreNotScarce(t *testing.T) {
	for name, paces := range map[string]map[incarnation.ID]time.Duration{
		"none": nil, "seven engines": fleet(7, 2), "all alike": fleet(48, 0), "all fast": fleet(48, 48),
		"more than half fast": fleet(48, 25), "fewer than a tenth fast": fleet(48, 4),
		"a quarter faster by less than half": between(fleet(48, 12), 42*time.Millisecond),
		"seven engines with a pace":          withZeros(fleet(7, 2), 20),
	} {
		c := New()
		assert.Equal(t, run(c, 0, 10*time.Second, constant(paces)), 0, name)
		assert.Assert(t, c.Classes() == nil, name)
		assert.Assert(t, !c.Classes().IsFast(id(0)), name)
	}
	c := New()
	run(c, 0, 10*time.Second, constant(fleet(48, 24)))
	assert.Equal(t, len(c.Classes().Fast), 24, "half of the engines")
}

// between returns the paces with that of the slow engines replaced by one pace, and that of the fast ones by fastPace.
func between(paces map[incarnation.ID]time.Duration, slow time.Duration) map[incarnation.ID]time.Duration {
	for engine, pace := range paces {
		paces[engine] = fastPace
		if pace >= slowPace {
			paces[engine] = slow - time.Millisecond
		}
	}
	return paces
}

func withZeros(paces map[incarnation.ID]time.Duration, count int) map[incarnation.ID]time.Duration {
	for i := range count {
		paces[id(1000+i)] = 0
	}
	return paces
}

// Guards against classes that follow paces which change several times a second: engines of three speeds that change
// twice a second get none, and slowdowns of half a second don't change those there are.
func TestFluctuatingPacesChangeNoClass(t *testing.T) {
	speeds := []time.Duration{20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond}
	changing := func(at time.Duration) map[incarnation.ID]time.Duration {
		paces := make(map[incarnation.ID]time.Duration)
		for i := range 48 {
			paces[id(i)] = speeds[(i+int(at/(500*time.Millisecond)))%len(speeds)]
		}
		return paces
	}
	c := New()
	assert.Equal(t, run(c, 0, time.Minute, changing), 0)
	assert.Assert(t, c.Classes() == nil)

	slowdowns := func(at time.Duration) map[incarnation.ID]time.Duration {
		paces := fleet(48, 12)
		for engine, pace := range paces {
			if (len(engine.Engine)+int(engine.Engine[len(engine.Engine)-1])+int(at/(500*time.Millisecond)))%4 == 0 {
				paces[engine] = pace * 5 / 2
			}
		}
		return paces
	}
	c = New()
	run(c, 0, 2*time.Second, constant(fleet(48, 12)))
	assert.Equal(t, len(c.Classes().Fast), 12)
	assert.Equal(t, run(c, 2*time.Second, time.Minute, slowdowns), 0)
	assert.Equal(t, len(c.Classes().Fast), 12)
	assert.Equal(t, run(c, time.Minute, 2*time.Minute, func(at time.Duration) map[incarnation.ID]time.Duration {
		if int(at/time.Second)%4 < 2 {
			return fleet(48, 0)
		}
		return fleet(48, 12)
	}), 0, "two seconds in which all engines are alike")
}

// Guards against an engine that stays in its class for good, or leaves it at once.
func TestClassChangesOnceThePaceHasStayedOnTheOtherSide(t *testing.T) {
	c := New()
	before := fleet(48, 12)
	run(c, 0, 2*time.Second, constant(before))
	slower := maps.Clone(before)
	slower[id(0)] = slowPace
	assert.Equal(t, run(c, 2*time.Second, 5*time.Second, constant(slower)), 0)
	assert.Assert(t, c.Classes().IsFast(id(0)))
	assert.Equal(t, run(c, 5*time.Second, 5*time.Second+2*step, constant(slower)), 1)
	assert.Assert(t, !c.Classes().IsFast(id(0)))
	assert.Equal(t, len(c.Classes().Fast), 11)
	assert.Equal(t, run(c, 10*time.Second, 12*time.Second, constant(fleet(48, 0))), 0)
	assert.Equal(t, run(c, 12*time.Second, 14*time.Second, constant(fleet(48, 0))), 1)
	assert.Assert(t, c.Classes() == nil, "engines have become alike")
}

// Guards against classes that flap when many engines leave at once.
func TestClassesOfRemainingEnginesStayWhenOthersLeave(t *testing.T) {
	for name, left := range map[string]func(engine int) bool{
		"two fifths of both classes": func(engine int) bool { return engine%5 < 2 },
		"two fifths, all others":     func(engine int) bool { return engine >= 29 },
		"half of the fast ones":      func(engine int) bool { return engine < 6 },
	} {
		c := New()
		paces := fleet(48, 12)
		run(c, 0, 2*time.Second, constant(paces))
		remaining, fast := fleet(48, 12), 0
		for i := range 48 {
			if left(i) {
				delete(remaining, id(i))
			} else if i < 12 {
				fast++
			}
		}
		wanted := 1
		if fast == 12 {
			wanted = 0
		}
		assert.Equal(t, run(c, 2*time.Second, time.Minute, constant(remaining)), wanted, name)
		assert.Equal(t, len(c.Classes().Fast), fast, name)
		for i := range 48 {
			assert.Equal(t, c.Classes().IsFast(id(i)), i < 12 && !left(i), name)
		}
	}
	c := New()
	run(c, 0, 2*time.Second, constant(fleet(48, 12)))
	assert.Assert(t, c.Update(start.Add(2*time.Second), fleet(7, 2)))
	assert.Assert(t, c.Classes() == nil, "too few engines remain")
}

// Guards against classes from the time before engines were alike, and against fast engines that are all in one class with
// the others afterwards.
func TestClassesAreLearnedAnewAfterEnginesWereAlike(t *testing.T) {
	c := New()
	paces, few := fleet(48, 12), fleet(48, 12)
	for i := range 8 {
		delete(few, id(i))
	}
	run(c, 0, 2*time.Second, constant(paces))
	run(c, 2*time.Second, 20*time.Second, constant(few))
	assert.Assert(t, c.Classes() == nil, "a tenth of the engines is fast")
	changes := run(c, 20*time.Second, 22*time.Second, constant(paces))
	assert.Equal(t, changes, 1)
	assert.Equal(t, len(c.Classes().Fast), 12)
}

// Guards against an engine that starts again under its ID with the class of its earlier start.
func TestReturningEngineStartsWithoutClass(t *testing.T) {
	c := New()
	all := fleet(48, 12)
	run(c, 0, 2*time.Second, constant(all))
	without := maps.Clone(all)
	delete(without, id(0))
	assert.Assert(t, c.Update(start.Add(2*time.Second), without))
	assert.Assert(t, !c.Update(start.Add(2*time.Second+step), all))
	assert.Assert(t, !c.Classes().IsFast(id(0)))
	run(c, 2*time.Second+2*step, 4*time.Second, constant(all))
	assert.Assert(t, c.Classes().IsFast(id(0)))
}

// Guards against a class that changes more often than the stated time allows, whatever the paces do.
func TestClassesChangeAtMostOncePerHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		changedAt := make(map[incarnation.ID]time.Duration)
		wasFast := make(map[incarnation.ID]bool)
		for at := time.Duration(0); at < 15*time.Second; at += step {
			paces := make(map[incarnation.ID]time.Duration)
			for i := range 12 {
				paces[id(i)] = rapid.SampledFrom([]time.Duration{20, 28, 60, 60, 100}).Draw(t, "pace") * time.Millisecond
			}
			c.Update(start.Add(at), paces)
			for engine, member := range c.engines {
				if member.classified && member.fast != wasFast[engine] {
					if last, found := changedAt[engine]; found && at-last < changeHold {
						t.Fatalf("%s changed its class at %s and %s", engine, last, at)
					}
					changedAt[engine], wasFast[engine] = at, member.fast
				}
			}
		}
	})
}
