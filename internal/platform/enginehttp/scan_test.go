package enginehttp

import (
	"encoding/json"
	"github.com/corkpulley/corkpulley/internal/engine"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

func drawChunk(t *rapid.T) engine.Chunk {
	text := rapid.OneOf(rapid.StringMatching(`[a-z0-9: ]{0,12}`), rapid.String())
	return engine.Chunk{
		RequestID:    text.Draw(t, "id"),
		Attempt:      rapid.Uint32().Draw(t, "attempt"),
		FirstToken:   rapid.Int().Draw(t, "first"),
		Tokens:       rapid.SliceOf(text).Draw(t, "tokens"),
		Version:      rapid.Uint64().Draw(t, "version"),
		Finished:     rapid.Bool().Draw(t, "finished"),
		FinishReason: text.Draw(t, "reason"),
		CachedTokens: rapid.Int().Draw(t, "cached"),
	}
}

// checkAgainstJSON checks that the scanner either rejects the line or decodes it as encoding/json does.
func checkAgainstJSON(t *rapid.T, line []byte) {
	scanner := chunkScanner{line: line, requestID: "r1"}
	scanned, ok := scanner.scan()
	if !ok {
		return
	}
	var decoded engine.Chunk
	if err := json.Unmarshal(line, &decoded); err != nil {
		t.Fatalf("scanner accepted %q, which encoding/json rejects: %v", line, err)
	}
	assert.DeepEqual(t, scanned, decoded)
}

func TestScannerAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line, err := json.Marshal(drawChunk(t))
		assert.NilError(t, err)
		checkAgainstJSON(t, append(line, '\n'))
		position := rapid.IntRange(0, len(line)-1).Draw(t, "position")
		line[position] = rapid.Byte().Draw(t, "byte")
		checkAgainstJSON(t, line)
		checkAgainstJSON(t, line[:position])
	})
}

func TestScannerAcceptsPlainLines(t *testing.T) {
	line := `{"request_id":"r1","attempt":2,"first_token":30,"tokens":["30:7 ","31:7 "],"version":7,"finished":true,"finish_reason":"stop","cached_tokens":16}` + "\n"
	scanner := chunkScanner{line: []byte(line), requestID: "r1"}
	chunk, ok := scanner.scan()
	assert.Assert(t, ok)
	assert.DeepEqual(t, chunk, engine.Chunk{
		RequestID: "r1", Attempt: 2, FirstToken: 30, Tokens: []string{"30:7 ", "31:7 "}, Version: 7,
		Finished: true, FinishReason: "stop", CachedTokens: 16,
	})
}
