package errkind

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against renumbered kinds, which other builds would decode as different errors.
func TestKindNumbersMatchGoldenFiles(t *testing.T) {
	kinds := make(map[string]int64)
	for _, kind := range All() {
		kinds[kind.Response().Code] = int64(kind)
	}
	goldenrecord.CheckEnum(t, "kinds", kinds)
}
