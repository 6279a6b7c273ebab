package engine

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length in bytes of a prompt block that prefix caches
// work with. Token counts are estimated as bytes / BytesPerToken.
const PrefixBlockBytes = 64

// BytesPerToken converts prompt bytes to an estimate of tokens.
const BytesPerToken = 4

// PrefixHashes returns one hash for each whole block of the prompt; each hash
// covers the model, the version and all of the prompt up to the block's end.
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
