package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// minimumSizes is how many sizes a slope needs.
const minimumSizes = 4

func TestFitFindsTheLine(t *testing.T) {
	exact := sweep{sizes: []int{1, 2, 4, 8}}
	line := func(slope float64) []float64 { return []float64{5 + slope, 5 + 2*slope, 5 + 4*slope, 5 + 8*slope} }
	fitted := exact.fit([][]float64{line(2), line(3), line(100)})
	assert.Check(t, math.Abs(fitted.Slope-3) < 1e-9, "slope %v", fitted.Slope)
	assert.Check(t, math.Abs(fitted.Intercept-5) < 1e-9, "intercept %v", fitted.Intercept)
	assert.Check(t, math.Abs(fitted.RSquared-1) < 1e-9, "R squared %v", fitted.RSquared)
	// The quartiles of the slopes 2, 3 and 100 are 2.5 and 51.5.
	assert.Check(t, math.Abs(fitted.Noise-24.5/3) < 1e-9, "noise %v", fitted.Noise)
	assert.Equal(t, fitted.Repetitions, 3)
}

func TestFitOfConstantValues(t *testing.T) {
	flat := sweep{sizes: []int{1, 2, 3, 4}}
	fitted := flat.fit([][]float64{{7, 7, 7, 7}})
	assert.Equal(t, fitted.Slope, 0.0)
	assert.Equal(t, fitted.RSquared, 1.0)
	assert.Equal(t, fitted.Noise, 0.0)
}

func TestEverySweepHasEnoughSizesAndANameOfItsOwn(t *testing.T) {
	seen := make(map[string]bool)
	check := func(name string, sizes []int) {
		assert.Check(t, !seen[name], "two sweeps are named %q", name)
		seen[name] = true
		assert.Check(t, len(sizes) >= minimumSizes, "%q has %d sizes", name, len(sizes))
		for index := 1; index < len(sizes); index++ {
			assert.Check(t, sizes[index] > sizes[index-1], "sizes of %q must rise", name)
		}
	}
	for _, each := range allSweeps() {
		check(each.name, each.sizes)
	}
	for _, each := range trafficSweeps() {
		check(each.name, each.sizes)
	}
}

// TestEverySweepMeasures runs each sweep at its smallest size: the hollow ends
// and the real parts still fit together.
func TestEverySweepMeasures(t *testing.T) {
	for _, each := range allSweeps() {
		t.Run(each.name, func(t *testing.T) {
			value, err := each.measure(t.Context(), each.sizes[0])
			assert.NilError(t, err)
			assert.Check(t, !math.IsNaN(value) && !math.IsInf(value, 0), "value %v", value)
		})
	}
}

func TestRecordSizesAreExact(t *testing.T) {
	report, err := Run(t.Context(), Options{Only: "bytes of a sample's record"})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Measurements), 1)
	measured := report.Measurements[0]
	assert.Check(t, math.Abs(measured.Slope-1) < 0.01, "bytes of record for each byte of text: %v", measured.Slope)
	assert.Equal(t, len(measured.Points), minimumSizes)

	var printed bytes.Buffer
	assert.NilError(t, report.Write(&printed, true))
	var decoded Report
	assert.NilError(t, json.Unmarshal(printed.Bytes(), &decoded))
	assert.DeepEqual(t, decoded, report)
	printed.Reset()
	assert.NilError(t, report.Write(&printed, false))
	assert.Check(t, strings.Contains(printed.String(), measured.Name))
}

func TestRunRefusesANameWithoutSweeps(t *testing.T) {
	_, err := Run(t.Context(), Options{Only: "no such sweep"})
	assert.ErrorContains(t, err, "no sweep has")
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Run(ctx, Options{Only: "routing"})
	assert.ErrorIs(t, err, context.Canceled)
}

func TestTrafficCountsEveryGroup(t *testing.T) {
	group := &trafficGroup{zones: 2, zoneSize: 2, models: 2}
	defer group.close()
	assert.NilError(t, group.start())
	assert.NilError(t, waitUntil("each member hears all others", func() bool {
		for _, member := range group.members {
			if len(member.cluster.Members()) != group.size() || len(member.cluster.Cells()) != group.size() {
				return false
			}
		}
		return true
	}))
	sent := group.sent()
	assert.Check(t, sent.bytes > 0 && sent.messages > 0, "sent %+v", sent)
}
