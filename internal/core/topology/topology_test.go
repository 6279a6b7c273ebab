package topology

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMap(t *testing.T) {
	zones := NewMap(map[string]string{"a1": "a", "b1": "b"}, "c1", "c")
	assert.Equal(t, zones.Region("a1"), "a")
	assert.Equal(t, zones.Region("c1"), "c", "the node's own zone")
	assert.Equal(t, zones.Region("d1"), "", "an unknown zone")
	assert.Assert(t, zones.HasRegion("b") && zones.HasRegion("c"))
	assert.Assert(t, !zones.HasRegion("d") && !zones.HasRegion(""))
}

func TestBetween(t *testing.T) {
	own := Place{Zone: "a1", Region: "a"}
	for _, test := range []struct {
		other  Place
		wanted Distance
	}{
		{Place{"a1", "a"}, SameZone},
		{Place{"a2", "a"}, SameRegion},
		{Place{"b1", "b"}, OtherRegion},
		{Place{"x1", ""}, OtherRegion},
	} {
		assert.Equal(t, Between(own, test.other), test.wanted, "%v", test.other)
		assert.Equal(t, Between(test.other, own), test.wanted, "%v", test.other)
	}
	assert.Equal(t, Between(Place{Zone: "x1"}, Place{Zone: "x2"}), OtherRegion, "two unknown regions may differ")
	assert.Assert(t, SameZone.RoundTrip() < SameRegion.RoundTrip() && SameRegion.RoundTrip() < OtherRegion.RoundTrip())
}
