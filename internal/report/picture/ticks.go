package picture

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
)

const (
	// maxValueTicks bounds the labeled ticks of a value axis.
	maxValueTicks = 6
	// finestStep is the smallest distance between ticks of rates.
	finestStep = 1e-6
)

// roundSteps are the distances between ticks within a power of ten.
var roundSteps = []float64{1, 2, 5}

// integerTicks labels integers at round distances.
func integerTicks(low, high float64) []plot.Tick { return roundTicks(low, high, 1) }

// rateTicks labels numbers, including fractions, at round distances.
func rateTicks(low, high float64) []plot.Tick { return roundTicks(low, high, finestStep) }

func roundTicks(low, high, minStep float64) []plot.Tick {
	step := roundStep(high-low, minStep)
	first := math.Ceil(low/step) * step
	var ticks []plot.Tick
	// Bounds the loop if the step is too small to change the value.
	for i := range maxValueTicks + 1 {
		value := first + float64(i)*step
		if value > high {
			break
		}
		ticks = append(ticks, plot.Tick{Value: value, Label: tickLabel(value, step)})
	}
	return ticks
}

// tickLabel formats the value with as many digits as the step needs.
func tickLabel(value, step float64) string {
	digits := max(0, int(math.Ceil(-math.Log10(step))))
	return strconv.FormatFloat(value, 'f', digits, 64)
}

// roundStep returns the smallest round step, at least minStep, that gives at most maxValueTicks ticks over the span.
func roundStep(span, minStep float64) float64 {
	for power := minStep; ; power *= 10 {
		for _, round := range roundSteps {
			if span/(power*round) < maxValueTicks {
				return power * round
			}
		}
	}
}
