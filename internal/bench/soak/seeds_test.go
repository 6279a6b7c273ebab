package soak

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// writeSeedsFile writes a file with one regression seed; number is a TOML value.
func writeSeedsFile(t *testing.T, number string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "seeds.toml")
	text := "[[seed]]\nnumber = " + number + `
minutes = 0.5
engines_fence = "no"
schedule = "placement"
found = "2026-12-03"
rule = "COLD"
cause = "c"
mended = "m"
`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against drawn seeds that cannot be kept: half of them exceed TOML's integers.
func TestReadSeedsNumberRange(t *testing.T) {
	for number, want := range map[string]SeedNumber{"7": 7, `"18446744073709551615"`: math.MaxUint64} {
		seeds, err := ReadSeeds(writeSeedsFile(t, number))
		assert.NilError(t, err)
		assert.Equal(t, seeds[0].Number, want)
	}
	for _, number := range []string{`"18446744073709551616"`, `"x"`, "-1", "0"} {
		_, err := ReadSeeds(writeSeedsFile(t, number))
		assert.Assert(t, err != nil, number)
	}
}
