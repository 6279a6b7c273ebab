package picture

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
)

// maxValueTicks bounds the labelled ticks of a value axis.
const maxValueTicks = 6

// roundSteps are the distances between ticks within a power of ten.
var roundSteps = []float64{1, 2, 5, 10}

// wholeTicks labels whole numbers at round distances.
func wholeTicks(low, high float64) []plot.Tick {
	step := wholeStep(high - low)
	var ticks []plot.Tick
	for value := math.Ceil(low/step) * step; value <= high; value += step {
		ticks = append(ticks, plot.Tick{Value: value, Label: strconv.FormatFloat(value, 'f', 0, 64)})
	}
	return ticks
}

// wholeStep returns the smallest round step, at least 1, that gives at most maxValueTicks ticks over the span.
func wholeStep(span float64) float64 {
	for power := 1.0; ; power *= 10 {
		for _, round := range roundSteps {
			if span/(power*round) < maxValueTicks {
				return power * round
			}
		}
	}
}
