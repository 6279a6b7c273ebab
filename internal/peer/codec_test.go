package peer

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against memory exhaustion by a small frame with a large encoded array length.
func TestDecodeLimitsAllocationToFrameSize(t *testing.T) {
	data := []byte{0xdd, 0x00, 0x40, 0x00, 0x00, 0x80} // array of 4 Mi elements, only one of them present
	var messages []hello
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := decode(data, &messages)
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 1<<20, "%d bytes for a frame of %d", allocated, len(data))
}
