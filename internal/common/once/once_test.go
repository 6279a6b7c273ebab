package once

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against one log line per record of an unknown kind, and against unbounded keys.
func TestFirstReportsEachKeyOnceUpToLimit(t *testing.T) {
	var keys PerKey
	assert.Assert(t, keys.First("a"))
	assert.Assert(t, !keys.First("a"))
	assert.Assert(t, keys.First("b"))
	first := 2
	for i := range 10 * maxKeys {
		if keys.First(strconv.Itoa(i)) {
			first++
		}
	}
	assert.Equal(t, first, maxKeys)
}
