package picture

import (
	"testing"

	"gonum.org/v1/plot"
	"gotest.tools/v3/assert"
)

func labelsOf(ticks []plot.Tick) []string {
	var labels []string
	for _, tick := range ticks {
		labels = append(labels, tick.Label)
	}
	return labels
}

// Guards against fractional ticks for versions, and against low rates without ticks.
func TestTicksAreRoundAndMatchTheValueRange(t *testing.T) {
	assert.DeepEqual(t, labelsOf(integerTicks(21, 23)), []string{"21", "22", "23"})
	assert.DeepEqual(t, labelsOf(integerTicks(0, 3900)), []string{"0", "1000", "2000", "3000"})
	assert.DeepEqual(t, labelsOf(rateTicks(0, 0.035)), []string{"0.00", "0.01", "0.02", "0.03"})
	assert.DeepEqual(t, labelsOf(rateTicks(0, 360)), []string{"0", "100", "200", "300"})
}

// Guards against shortened labels that no longer identify a node.
func TestShortenKeepsBothEnds(t *testing.T) {
	assert.Equal(t, shorten("edge-castlebar-hall-312"), "edge-castlebar-hall-312")
	shortened := shorten("edge-castlebar-hall-312 [north-coast,south-coast]")
	assert.Equal(t, len([]rune(shortened)), maxLabel)
	assert.Equal(t, shortened, "edge-castlebar-h…st,south-coast]")
}
