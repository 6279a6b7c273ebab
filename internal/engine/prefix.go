package engine

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the prompt blocks that prefix caches store, in bytes.
const PrefixBlockBytes = 64

// BytesPerToken is the ratio used to estimate the tokens of a prompt from its bytes.
const BytesPerToken = 4

// PrefixHashes returns one hash for each complete block of the prompt. A hash
// covers the model, the version and the prompt up to the end of the block.
func PrefixHashes(model string, version uint64, prompt string) []uint64 {
	blocks := len(prompt) / PrefixBlockBytes
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{
		byte(version), byte(version >> 8), byte(version >> 16), byte(version >> 24),
		byte(version >> 32), byte(version >> 40), byte(version >> 48), byte(version >> 56),
	})
	for block := range blocks {
		_, _ = digest.WriteString(prompt[block*PrefixBlockBytes : (block+1)*PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
