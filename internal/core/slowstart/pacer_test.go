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
	began          = time.Unix(1000, 0)
	firstAdmission = began.Add(TakeoverPause)
	cold           = incarnation.ID{Engine: "e1", StartMillis: 7}
)

// maxPerSecond returns the largest number of times within one second.
func maxPerSecond(times []time.Time) int {
	highest, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

func TestAdmissionsPerSecondStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 300).Draw(t, "pauses")
		pacer, now := New(began), began
		var admitted []time.Time
		for _, pause := range pauses {
			now = now.Add(time.Duration(pause) * time.Millisecond)
			available := pacer.Available(cold, rate, now)
			wait := pacer.Admit(cold, rate, now)
			if (available > 0) != (wait == 0) {
				t.Fatalf("%d requests available, but wait of %s", available, wait)
			}
			if wait == 0 {
				admitted = append(admitted, now)
			}
		}
		if most := maxPerSecond(admitted); most > int(math.Ceil(rate))+Burst {
			t.Fatalf("%d requests in a second at a rate of %.2f", most, rate)
		}
		if len(admitted) > 0 && admitted[0].Before(firstAdmission) {
			t.Fatalf("admitted %s after the takeover", admitted[0].Sub(began))
		}
	})
}

func TestAdmitSucceedsAfterReturnedWait(t *testing.T) {
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

func TestPollingEvery50MsUsesWholeRate(t *testing.T) {
	pacer := New(began)
	admitted := 0
	for now := firstAdmission; now.Before(firstAdmission.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
		for range pacer.Available(cold, 7.9, now) {
			assert.Equal(t, pacer.Admit(cold, 7.9, now), time.Duration(0))
			admitted++
		}
	}
	assert.Assert(t, admitted >= 78, "%d requests in ten seconds", admitted)
}

func TestIncarnationsArePacedIndependently(t *testing.T) {
	pacer := New(began)
	for range Burst {
		assert.Equal(t, pacer.Admit(cold, 1, firstAdmission), time.Duration(0))
	}
	assert.Equal(t, pacer.Admit(cold, 1, firstAdmission), time.Second)
	assert.Equal(t, pacer.Available(incarnation.ID{Engine: "e1", StartMillis: 8}, 1, firstAdmission), Burst, "another incarnation")
}

// The engine reports that it is cold only after eight items were started at once.
func TestUnpacedRequestsCountTowardsRate(t *testing.T) {
	const rate, items = 7.9, 8
	pacer := New(began)
	var times []time.Time
	for range items {
		pacer.RecordUnpaced(cold, rate, firstAdmission)
		times = append(times, firstAdmission)
	}
	for now := firstAdmission; now.Before(firstAdmission.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if pacer.Admit(cold, rate, now) == 0 {
			times = append(times, now)
		}
	}
	assert.Assert(t, maxPerSecond(times) <= items+Burst, "%d", maxPerSecond(times))
}

func TestUnpacedRequestsDelayAdmissionByAtMostOneSecond(t *testing.T) {
	pacer := New(began)
	for range 100 {
		pacer.RecordUnpaced(cold, 4, firstAdmission)
	}
	assert.Equal(t, pacer.Admit(cold, 4, firstAdmission.Add(time.Second)), time.Duration(0))
}

// Permits of the earlier leader are used as late as possible, and both leaders admit as much as they can.
func TestTakeoverKeepsRateLimit(t *testing.T) {
	const rate = 7.9
	earlier := New(began)
	end := firstAdmission.Add(5 * time.Second)
	var times []time.Time
	for now := firstAdmission; now.Before(end); now = now.Add(time.Millisecond) {
		if earlier.Admit(cold, rate, now) == 0 {
			times = append(times, now.Add(PermitTTL))
		}
	}
	next := New(end)
	for now := end; now.Before(end.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		if next.Admit(cold, rate, now) == 0 {
			times = append(times, now)
		}
	}
	assert.Assert(t, maxPerSecond(times) <= 7+1+Burst, "%d", maxPerSecond(times))
}

// All permits that are valid at useAt are used then.
func TestPermitsUsedTogetherStayWithinOneAndAHalfTimesTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 7.9, 20, 60} {
		pacer := New(began)
		useAt := firstAdmission.Add(2 * time.Second)
		var sent []time.Time
		for now := firstAdmission; now.Before(firstAdmission.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
			if pacer.Admit(cold, rate, now) > 0 {
				continue
			}
			if wait := useAt.Sub(now); wait > 0 && wait <= PermitTTL {
				sent = append(sent, useAt)
				continue
			}
			sent = append(sent, now)
		}
		most := maxPerSecond(sent)
		assert.Assert(t, float64(most) <= rate*1.5+5, "%d requests sent in a second at a rate of %.2f", most, rate)
	}
}

func TestDropExpiredDropsEnginesWithoutCountedRequests(t *testing.T) {
	pacer := New(began)
	assert.Equal(t, pacer.Admit(cold, 1, firstAdmission), time.Duration(0))
	pacer.DropExpired(firstAdmission.Add(time.Second))
	assert.Equal(t, len(pacer.due), 1)
	pacer.DropExpired(firstAdmission.Add(time.Second + 1))
	assert.Equal(t, len(pacer.due), 0)
}
