package timeline

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against events lost or duplicated when buckets are widened, and against an unbounded number of buckets.
func TestRatesKeepEachEventInBoundedBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(1, int64(400*24*time.Hour/time.Millisecond)), 1, 200).Draw(t, "times")
		rates := newRates()
		for _, at := range times {
			rates.add(at, Answered)
		}
		first, last := slices.Min(times), slices.Max(times)
		buckets := int((last/rates.width)-(first/rates.width)) + 1
		if buckets > maxBuckets {
			t.Fatalf("%d buckets, more than maxBuckets", buckets)
		}
		sum := 0.0
		for _, rate := range rates.PerSecond(Answered, time.UnixMilli(first), rates.Width(), buckets) {
			sum += rate * rates.Width().Seconds()
		}
		if int(sum+0.5) != len(times) || rates.Total() != len(times) {
			t.Fatalf("rates add up to %v events, Total returned %d, expected %d", sum, rates.Total(), len(times))
		}
	})
}

// Guards against a missed gap, and against gap bounds rounded to buckets.
func TestGapsLieBetweenConsecutiveProgressTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(1000, 100000), 1, 60).Draw(t, "times")
		minimum := rapid.Int64Range(initialWidthMs, 20000).Draw(t, "minimum")
		progress := newProgressBuckets()
		for _, at := range times {
			progress.add(at)
		}
		found := progress.gaps(time.UnixMilli(500), time.UnixMilli(101000), time.Duration(minimum)*time.Millisecond)
		var expected []Gap
		sorted := append(append([]int64{500}, slices.Sorted(slices.Values(times))...), 101000)
		for i := 1; i < len(sorted); i++ {
			if sorted[i]-sorted[i-1] >= minimum {
				expected = append(expected, Gap{From: time.UnixMilli(sorted[i-1]), To: time.UnixMilli(sorted[i])})
			}
		}
		if !slices.Equal(found, expected) {
			t.Fatalf("found %v, expected %v", found, expected)
		}
	})
}

// Guards against lists that grow with the logs, and against events omitted without a count.
func TestJobsBeyondTheBoundAreCountedAsOmitted(t *testing.T) {
	lines := make([]string, 0, maxJobs+5)
	for i := range maxJobs + 5 {
		lines = append(lines, line(1000, "n1", fmt.Sprintf(`"job":"j%d","model":"m",`, i), messageJobSubmitted))
	}
	built := readLines(t, Options{MinimumGap: time.Second}, lines...)
	assert.Equal(t, len(built.Jobs), maxJobs)
	assert.Equal(t, built.Lines.Omitted, 5)
}

// Guards against a number of labels that grows with the number of topics.
func TestRatesBoundTheirLabels(t *testing.T) {
	rates := newRates()
	for i := range 10 * maxLabels {
		rates.add(1000, fmt.Sprint(i))
	}
	assert.Equal(t, len(rates.Labels()), maxLabels+1)
	assert.Equal(t, rates.Total(otherLabel), 9*maxLabels)
}

// Guards against a gap reported without the failures within it.
func TestGapCountsOtherEventsWithinIt(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", "", messageRequestEnded),
		line(2500, "n1", `"kind":"log_unavailable",`, messageRequestRefused),
		line(2600, "n2", "", messageNodeStarted),
		line(2700, "n1", `"topic":"t","reachable":false,`, messageTopicReachability),
		line(2800, "n1", `"direct":false,`, messagePathChanged),
		line(5000, "n1", `"topic":"t","reachable":true,`, messageTopicReachability))
	assert.DeepEqual(t, built.Gaps, []Gap{{
		From: time.UnixMilli(1000), To: time.UnixMilli(5000), Refused: 1, NodesStarted: 1, ContactLost: 1, PathChanges: 1,
	}})
}

// Guards against a long gap displaced from the list by many short ones.
func TestLongestGapsComeFirst(t *testing.T) {
	progress := newProgressBuckets()
	at := int64(1000)
	for length := range int64(maxGaps + 5) {
		progress.add(at)
		at += 1000 + 10*length
	}
	progress.add(at)
	found := progress.gaps(time.UnixMilli(1000), time.UnixMilli(at), time.Second)
	assert.Equal(t, len(found), maxGaps+5)
	longest := longestGaps(found)
	assert.Equal(t, len(longest), maxGaps)
	assert.Equal(t, longest[0].Duration(), time.Duration(1000+10*(maxGaps+4))*time.Millisecond)
	assert.Equal(t, longest[maxGaps-1].Duration(), 1050*time.Millisecond)
}
