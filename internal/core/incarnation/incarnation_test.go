package incarnation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestIDDistinguishesIncarnationsOfOneEngine(t *testing.T) {
	before, after := ID{Engine: "e1", StartMillis: 1000}, ID{Engine: "e1", StartMillis: 2000}
	assert.Assert(t, before != after)
	assert.Equal(t, before.String(), "e1@1000")
	assert.Equal(t, ID{Engine: "e1"}.String(), "e1")
	assert.Assert(t, ID{}.IsZero())
	assert.Assert(t, !after.IsZero())
}

func TestContradictsIgnoresMissingStartTimes(t *testing.T) {
	first := ID{Engine: "e1", StartMillis: 1000}
	assert.Assert(t, !first.Contradicts(first))
	assert.Assert(t, first.Contradicts(ID{Engine: "e1", StartMillis: 2000}))
	assert.Assert(t, first.Contradicts(ID{Engine: "e2", StartMillis: 1000}))
	assert.Assert(t, !first.Contradicts(ID{Engine: "e1"}))
	assert.Assert(t, !ID{Engine: "e1"}.Contradicts(first))
}
