package slopes

import (
	"context"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// defaultRepetitions is how often each size is measured.
const defaultRepetitions = 3

// Point is what was measured at one size.
type Point struct {
	Size float64 `json:"size"`
	// Value is the median of the repetitions.
	Value float64 `json:"value"`
}

// Measurement is a line fitted to the points of one sweep by least squares:
// value = Intercept + Slope * size.
type Measurement struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Size names what the sizes count, Unit what the values are in.
	Size      string  `json:"size"`
	Unit      Unit    `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// RSquared is the share of the points' variance that the line explains.
	RSquared float64 `json:"r_squared"`
	// Noise is half the distance between the quartiles of the slopes of the
	// single repetitions, as a share of Slope. It is 0, and tells nothing, when
	// Repetitions is 1.
	Noise       float64 `json:"noise"`
	Repetitions int     `json:"repetitions"`
}

// sweep measures one value at several sizes.
type sweep struct {
	name string
	role Role
	// size names what the sizes count.
	size  string
	unit  Unit
	sizes []int
	// repetitions of each size; 0 takes defaultRepetitions, 1 does for values
	// without noise.
	repetitions int
	measure     func(ctx context.Context, size int) (float64, error)
}

// run measures all sizes in turn, again and again, so that a disturbance from
// outside does not hit one size alone.
func (s *sweep) run(ctx context.Context) (Measurement, error) {
	repetitions := s.repetitions
	if repetitions == 0 {
		repetitions = defaultRepetitions
	}
	rounds := make([][]float64, 0, repetitions)
	for range repetitions {
		values := make([]float64, 0, len(s.sizes))
		for _, size := range s.sizes {
			if err := ctx.Err(); err != nil {
				return Measurement{}, err
			}
			value, err := s.measure(ctx, size)
			if err != nil {
				return Measurement{}, err
			}
			values = append(values, value)
		}
		rounds = append(rounds, values)
	}
	return s.fit(rounds), nil
}

// fit fits a line to the medians of the rounds; each round has a value for
// each size.
func (s *sweep) fit(rounds [][]float64) Measurement {
	sizes := make([]float64, 0, len(s.sizes))
	medians := make([]float64, 0, len(s.sizes))
	points := make([]Point, 0, len(s.sizes))
	for index, size := range s.sizes {
		values := make([]float64, 0, len(rounds))
		for _, round := range rounds {
			values = append(values, round[index])
		}
		sizes = append(sizes, float64(size))
		medians = append(medians, quantile(values, 0.5))
		points = append(points, Point{Size: float64(size), Value: medians[index]})
	}
	intercept, slope := stat.LinearRegression(sizes, medians, nil, false)
	return Measurement{
		Name: s.name, Role: s.role, Size: s.size, Unit: s.unit,
		Points:      points,
		Slope:       slope,
		Intercept:   intercept,
		RSquared:    explained(sizes, medians, intercept, slope),
		Noise:       slopeNoise(sizes, rounds, slope),
		Repetitions: len(rounds),
	}
}

// explained returns the share of the variance that a line explains; 1 for
// values that do not vary.
func explained(sizes, values []float64, intercept, slope float64) float64 {
	if stat.Variance(values, nil) == 0 {
		return 1
	}
	return stat.RSquared(sizes, values, nil, intercept, slope)
}

// slopeNoise returns half the distance between the quartiles of the rounds'
// slopes as a share of the slope.
func slopeNoise(sizes []float64, rounds [][]float64, slope float64) float64 {
	if len(rounds) < 2 || slope == 0 {
		return 0
	}
	slopes := make([]float64, 0, len(rounds))
	for _, round := range rounds {
		_, each := stat.LinearRegression(sizes, round, nil, false)
		slopes = append(slopes, each)
	}
	return (quantile(slopes, 0.75) - quantile(slopes, 0.25)) / 2 / math.Abs(slope)
}

// quantile returns a quantile of values in any order, interpolated.
func quantile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	position := share * float64(len(sorted)-1)
	below := int(position)
	above := min(below+1, len(sorted)-1)
	return sorted[below] + (position-float64(below))*(sorted[above]-sorted[below])
}
