package message

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

// taggedProgress is a Progress that msgpack encodes by its tags.
type taggedProgress Progress

func encodeCompactly(t *rapid.T, value any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	assert.NilError(t, encoder.Encode(value))
	return buffer.Bytes()
}

// TestProgressIsEncodedByItsTags: a field that is added to the type and not to
// the encoding fails here, as each field is drawn.
func TestProgressIsEncodedByItsTags(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		progress := rapid.Make[Progress]().Draw(t, "progress")
		wanted := encodeCompactly(t, (*taggedProgress)(&progress))
		assert.DeepEqual(t, encodeCompactly(t, progress), wanted)
		assert.DeepEqual(t, encodeCompactly(t, &progress), wanted)
	})
}
