package homes

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAllows(t *testing.T) {
	for _, test := range []struct {
		set     Set
		region  string
		allowed bool
	}{
		{Set{}, "north", true},
		{Set{}, "", true},
		{Of([]string{}), "north", true},
		{Of([]string{"north", "south"}), "north", true},
		{Of([]string{"north", "south"}), "south", true},
		{Of([]string{"north", "south"}), "nort", false},
		{Of([]string{"north", "south"}), "orth", false},
		{Of([]string{"north", "south"}), "west", false},
		{Of([]string{"north"}), "", false},
		{Of([]string{""}), "", false},
	} {
		assert.Equal(t, test.set.Allows(test.region), test.allowed, "%s, %q", test.set, test.region)
	}
}

func TestIntersect(t *testing.T) {
	both := Of([]string{"north", "south"})
	north, south := Of([]string{"north"}), Of([]string{"south"})
	assert.Equal(t, Set{}.Intersect(Set{}), Set{})
	assert.Equal(t, Set{}.Intersect(north), north)
	assert.Equal(t, north.Intersect(Set{}), north)
	assert.Equal(t, both.Intersect(north), north)
	empty := north.Intersect(south)
	assert.Assert(t, empty.IsEmpty() && empty.IsRestricted())
	assert.Assert(t, !empty.Allows("north") && !empty.Allows("south") && !empty.Allows(""))
	assert.Equal(t, empty.Intersect(Set{}), empty, "an empty set stays empty")
	assert.Assert(t, !Set{}.IsEmpty() && !north.IsEmpty())
}

func TestEqualSets(t *testing.T) {
	assert.Equal(t, Of([]string{"b", "a", "b"}), Of([]string{"a", "b"}))
	assert.Assert(t, Of([]string{"ab"}) != Of([]string{"a", "b"}))
	assert.DeepEqual(t, Of([]string{"b", "a"}).Regions(), []string{"a", "b"})
	assert.Assert(t, Set{}.Regions() == nil)
	assert.Equal(t, Of([]string{"b", "a"}).String(), "a,b")
	assert.Equal(t, Set{}.String(), "everywhere")
	assert.Equal(t, Of([]string{"b", "a"}).ID(), Of([]string{"a", "b"}).ID())
}

// Guards against sets that share a lease and a topic.
func TestIDsOfDifferentSetsDiffer(t *testing.T) {
	assert.Assert(t, Of([]string{"a,b"}).ID() != Of([]string{"a", "b"}).ID())
	assert.Assert(t, Of([]string{"everywhere"}).ID() != Set{}.ID())
}

func TestContextRoundTrip(t *testing.T) {
	north := Of([]string{"north"})
	assert.Equal(t, FromContext(context.Background()), Set{})
	assert.Equal(t, FromContext(context.WithoutCancel(NewContext(context.Background(), north))), north)
}
