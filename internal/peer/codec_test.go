package peer

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDecodeAllocatesNoMoreThanTheFrameHolds: a frame of a few bytes that
// claims millions of elements must not take their memory.
func TestDecodeAllocatesNoMoreThanTheFrameHolds(t *testing.T) {
	claim := []byte{0xdd, 0x00, 0x40, 0x00, 0x00, 0x80} // an array of 4 Mi elements, of which one is there
	var messages []hello
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := decode(claim, &messages)
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 1<<20, "%d bytes for a frame of %d", allocated, len(claim))
}
