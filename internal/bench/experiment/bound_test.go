package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

const millis = time.Millisecond

func TestLowerBoundIsMaximumOfLongestSampleAndTotalWork(t *testing.T) {
	input := boundInput{
		steps:           [][]stepWork{{{tokens: 100, longest: 50}}},
		stepsAhead:      []int{0},
		trainTime:       []time.Duration{10 * millis},
		tokensPerSecond: 1000,
		decodeStep:      millis,
	}
	assert.Equal(t, lowerBound(input)[0], 100*millis)
	input.tokensPerSecond = 10_000
	assert.Equal(t, lowerBound(input)[0], 50*millis)
}

func TestLowerBoundWithStepsSubmittedAhead(t *testing.T) {
	input := boundInput{
		steps:           [][]stepWork{{{tokens: 10, longest: 50}, {tokens: 10, longest: 70}}},
		stepsAhead:      []int{1},
		trainTime:       []time.Duration{10 * millis},
		tokensPerSecond: 1_000_000,
		decodeStep:      millis,
	}
	// The second step is submitted with the first: it is complete after 70 ms,
	// and the trainer is ready for it after 50 + 10 ms.
	assert.Equal(t, lowerBound(input)[0], 60*millis)
	input.stepsAhead[0] = 0
	assert.Equal(t, lowerBound(input)[0], 120*millis)
}

func TestLowerBoundCountsWorkOfAllTrainersOnSharedEngines(t *testing.T) {
	step := []stepWork{{tokens: 100, longest: 1}}
	idle := lowerBound(boundInput{
		steps:           [][]stepWork{step, step},
		stepsAhead:      []int{0, 0},
		trainTime:       []time.Duration{millis, millis},
		tokensPerSecond: 1000,
		decodeStep:      millis,
	})
	assert.DeepEqual(t, idle, []time.Duration{200 * millis, 200 * millis})
}

// More capacity or more steps ahead must never raise the bound.
func TestLowerBoundNeverRisesWithCapacityOrStepsAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) stepWork {
			longest := rapid.IntRange(1, 500).Draw(t, "longest")
			return stepWork{longest: longest, tokens: longest + rapid.IntRange(0, 5000).Draw(t, "rest")}
		}), 1, 6).Draw(t, "steps")
		input := boundInput{
			steps:           [][]stepWork{work},
			stepsAhead:      []int{rapid.IntRange(0, 2).Draw(t, "ahead")},
			trainTime:       []time.Duration{time.Duration(rapid.IntRange(0, 500).Draw(t, "train")) * millis},
			tokensPerSecond: float64(rapid.IntRange(1000, 100_000).Draw(t, "rate")),
			decodeStep:      millis,
		}
		idle := lowerBound(input)[0]
		faster := input
		faster.tokensPerSecond *= 2
		assert.Assert(t, lowerBound(faster)[0] <= idle)
		ahead := input
		ahead.stepsAhead = []int{input.stepsAhead[0] + 1}
		assert.Assert(t, lowerBound(ahead)[0] <= idle)
	})
}
