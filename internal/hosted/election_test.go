package hosted

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a takeover of a live node's lease: a process that starts at the same exclusive address takes the
// lease over at once.
func TestExclusiveAddress(t *testing.T) {
	assert.Equal(t, exclusiveAddress("10.1.0.10:7720"), "10.1.0.10:7720")
	for _, shared := range []string{"127.0.0.1:7720", "0.0.0.0:7720", "[::1]:7720", "[::]:7720", "10.1.0.10:0", ":7720", ""} {
		assert.Equal(t, exclusiveAddress(shared), "", shared)
	}
}
