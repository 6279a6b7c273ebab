package lengths

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExpectUsesGroupThenOverallQuantile(t *testing.T) {
	estimator := New()
	assert.Equal(t, estimator.Expect("a", 100), 100, "no observations: maxTokens")
	for tokens := range 101 {
		estimator.Observe("a", tokens)
	}
	assert.Equal(t, estimator.Expect("a", 1000), 84, "75th percentile of the last 64 lengths, 37 to 100")
	assert.Equal(t, estimator.Expect("a", 50), 50, "at most maxTokens")
	assert.Equal(t, estimator.Expect("b", 1000), 84, "unknown group: quantile of all groups")
	estimator.Observe("b", 7)
	estimator.Observe("b", -1)
	assert.Equal(t, estimator.Expect("b", 1000), 7)
}

func TestObserveEvictsLeastRecentlyObservedGroup(t *testing.T) {
	estimator := New()
	for group := range MaxGroups + 10 {
		estimator.Observe(strconv.Itoa(group), group)
	}
	assert.Equal(t, len(estimator.groups), MaxGroups)
	assert.Equal(t, estimator.Expect(strconv.Itoa(MaxGroups+9), 1<<20), MaxGroups+9)
	_, kept := estimator.groups["0"]
	assert.Assert(t, !kept, "the least recently observed group is evicted")
}
