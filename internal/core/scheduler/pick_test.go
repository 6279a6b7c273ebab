package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPickHighest(t *testing.T) {
	engines := []*engineState{servingEngine("a", 1, 1), servingEngine("b", 1, 1), servingEngine("c", 1, 1)}
	assert.Equal(t, pickHighest(engines, []float64{1, 3, 2}, 7, "r").id, "b")
	picked := make(map[string]bool)
	for item := range 64 {
		id := fmt.Sprint(item)
		first := pickHighest(engines, []float64{1, 1, 0}, 7, id)
		assert.Equal(t, pickHighest(engines, []float64{1, 1, 0}, 7, id).id, first.id)
		picked[first.id] = true
	}
	assert.DeepEqual(t, picked, map[string]bool{"a": true, "b": true})
}

func TestPickNextAndLeastReported(t *testing.T) {
	engines := []*engineState{servingEngine("a", 1, 4), servingEngine("b", 1, 4)}
	assert.Equal(t, pickNext(engines, "").id, "a")
	assert.Equal(t, pickNext(engines, "a").id, "b")
	assert.Equal(t, pickNext(engines, "b").id, "a")
	engines[0].status.Running = 1
	assert.Equal(t, pickLeastReported(engines).id, "b")
}
