package slowstart

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

var (
	began   = time.Unix(1000, 0)
	settled = began.Add(TakeoverPause)
	cold    = incarnation.ID{Engine: "e1", Born: 7}
)

// mostInASecond is the largest number of times that lie within a second of each other.
func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestNoSecondHoldsMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 300).Draw(t, "pauses")
		pacer, now := New(began), began
		var admitted []time.Time
		for _, pause := range pauses {
			now = now.Add(time.Duration(pause) * time.Millisecond)
			room := pacer.Room(cold, rate, now)
			wait := pacer.Admit(cold, rate, now)
			if (room > 0) != (wait == 0) {
				t.Fatalf("room for %d, wait %s", room, wait)
			}
			if wait == 0 {
				admitted = append(admitted, now)
			}
		}
		if most := mostInASecond(admitted); most > int(math.Ceil(rate))+Burst {
			t.Fatalf("%d in a second at a rate of %.2f", most, rate)
		}
		if len(admitted) > 0 && admitted[0].Before(settled) {
			t.Fatalf("admitted %s after the begin", admitted[0].Sub(began))
		}
	})
}

func TestWhoeverWaitsAsToldIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		pacer, now := New(began), began
		for range rapid.IntRange(1, 50).Draw(t, "starts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if wait := pacer.Admit(cold, rate, now); wait > 0 {
				now = now.Add(wait)
				assert.Equal(t, pacer.Admit(cold, rate, now), time.Duration(0))
			}
		}
	})
}

func TestTheWholeRateIsUsedBySomeoneWhoLooksEveryFiftyMilliseconds(t *testing.T) {
	pacer := New(began)
	admitted := 0
	for now := settled; now.Before(settled.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
		for range pacer.Room(cold, 7.9, now) {
			assert.Equal(t, pacer.Admit(cold, 7.9, now), time.Duration(0))
			admitted++
		}
	}
	assert.Assert(t, admitted >= 78, "%d in ten seconds", admitted)
}

func TestEnginesArePacedApart(t *testing.T) {
	pacer := New(began)
	for range Burst {
		assert.Equal(t, pacer.Admit(cold, 1, settled), time.Duration(0))
	}
	assert.Equal(t, pacer.Admit(cold, 1, settled), time.Second)
	assert.Equal(t, pacer.Room(incarnation.ID{Engine: "e1", Born: 8}, 1, settled), Burst, "another life of the engine")
}

// TestWhatAnEngineGotBeforeItWasKnownToBeColdCounts: eight items started at once, then the engine's
// entry says that it is cold.
func TestWhatAnEngineGotBeforeItWasKnownToBeColdCounts(t *testing.T) {
	const rate, items = 7.9, 8
	pacer := New(began)
	var times []time.Time
	for range items {
		pacer.Note(cold, rate, settled)
		times = append(times, settled)
	}
	for now := settled; now.Before(settled.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if pacer.Admit(cold, rate, now) == 0 {
			times = append(times, now)
		}
	}
	assert.Assert(t, mostInASecond(times) <= items+Burst, "%d", mostInASecond(times))
}

func TestWhatWasNotedHoldsAnEngineBackForASecondAtMost(t *testing.T) {
	pacer := New(began)
	for range 100 {
		pacer.Note(cold, 4, settled)
	}
	assert.Equal(t, pacer.Admit(cold, 4, settled.Add(time.Second)), time.Duration(0))
}

// TestATakeoverKeepsTheSum: the earlier leader admits all that it can until its end, what it
// admitted leaves as late as it may, and the next one admits all that it can from its begin.
func TestATakeoverKeepsTheSum(t *testing.T) {
	const rate = 7.9
	earlier := New(began)
	end := settled.Add(5 * time.Second)
	var times []time.Time
	for now := settled; now.Before(end); now = now.Add(time.Millisecond) {
		if earlier.Admit(cold, rate, now) == 0 {
			times = append(times, now.Add(PermitLife))
		}
	}
	next := New(end)
	for now := end; now.Before(end.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		if next.Admit(cold, rate, now) == 0 {
			times = append(times, now)
		}
	}
	assert.Assert(t, mostInASecond(times) <= 7+1+Burst, "%d", mostInASecond(times))
}

// TestPermitsThatLeaveTogetherStayWithinHalfMoreOfTheRate: all that is admitted before a moment waits
// for it as long as it may.
func TestPermitsThatLeaveTogetherStayWithinHalfMoreOfTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 7.9, 20, 60} {
		pacer := New(began)
		together := settled.Add(2 * time.Second)
		var left []time.Time
		for now := settled; now.Before(settled.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
			if pacer.Admit(cold, rate, now) > 0 {
				continue
			}
			if wait := together.Sub(now); wait > 0 && wait <= PermitLife {
				left = append(left, together)
				continue
			}
			left = append(left, now)
		}
		most := mostInASecond(left)
		assert.Assert(t, float64(most) <= rate*1.5+5, "%d left in a second at a rate of %.2f", most, rate)
	}
}

func TestEnginesWhoseRequestsNoLongerCountAreForgotten(t *testing.T) {
	pacer := New(began)
	assert.Equal(t, pacer.Admit(cold, 1, settled), time.Duration(0))
	pacer.Forget(settled.Add(time.Second))
	assert.Equal(t, len(pacer.due), 1)
	pacer.Forget(settled.Add(time.Second + 1))
	assert.Equal(t, len(pacer.due), 0)
}
