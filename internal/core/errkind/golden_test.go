package errkind

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against numbers that another build takes for another kind of error.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	kinds := make(map[string]int64)
	for _, kind := range All() {
		kinds[kind.Answer().Code] = int64(kind)
	}
	goldenrecord.CheckNumbers(t, "kinds", kinds)
}
