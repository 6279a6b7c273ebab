package message

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

// taggedProgress is a Progress without EncodeMsgpack, so that msgpack encodes it by its tags.
type taggedProgress Progress

func encodeCompactly(t *rapid.T, value any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	assert.NilError(t, encoder.Encode(value))
	return buffer.Bytes()
}

// Guards against fields that are added to Progress but not to EncodeMsgpack.
func TestProgressEncodingMatchesTags(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		progress := rapid.Make[Progress]().Draw(t, "progress")
		expected := encodeCompactly(t, (*taggedProgress)(&progress))
		assert.DeepEqual(t, encodeCompactly(t, progress), expected)
		assert.DeepEqual(t, encodeCompactly(t, &progress), expected)
	})
}
