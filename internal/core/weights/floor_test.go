package weights_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/weights"
)

func TestFloorEnginesRoundsUpAndLeavesOneEngine(t *testing.T) {
	for _, c := range []struct{ engines, percent, floor int }{
		{engines: 10, percent: 75, floor: 8},
		{engines: 10, percent: 99, floor: 9},
		{engines: 10, percent: 100, floor: 10},
		{engines: 10, percent: 0, floor: 0},
		{engines: 1, percent: 50, floor: 0},
		{engines: 1, percent: 100, floor: 1},
		{engines: 0, percent: 100, floor: 0},
	} {
		assert.Equal(t, weights.FloorEngines(c.engines, c.percent), c.floor, "%+v", c)
	}
}
