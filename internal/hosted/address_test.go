package hosted

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyAnAddressOfOneMachineIsExclusive: a process that starts at it takes the lease over at once from the
// one that held it, which must have ended.
func TestOnlyAnAddressOfOneMachineIsExclusive(t *testing.T) {
	assert.Equal(t, exclusiveAddress("10.1.0.10:7720"), "10.1.0.10:7720")
	for _, shared := range []string{"127.0.0.1:7720", "0.0.0.0:7720", "[::1]:7720", "[::]:7720", "10.1.0.10:0", ":7720", ""} {
		assert.Equal(t, exclusiveAddress(shared), "", shared)
	}
}
