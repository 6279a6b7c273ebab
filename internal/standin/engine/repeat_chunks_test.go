package engine_test

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
)

func TestRepeatedChunksCoverAnswer(t *testing.T) {
	h := startEngine(t, standin.Config{})
	repeat := true
	h.Control(standin.Control{RepeatChunks: &repeat})
	stream := h.generate(t, newRequest("r", 12))
	next, sent := 0, 0
	for {
		chunk, err := stream.Receive()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		assert.Assert(t, chunk.FirstToken <= next, "token %d was skipped", next)
		next = max(next, chunk.FirstToken+len(chunk.Tokens))
		sent += len(chunk.Tokens)
	}
	assert.Equal(t, next, 12)
	assert.Assert(t, sent > 2*12, "%d tokens were sent, so few were repeated", sent)
}
