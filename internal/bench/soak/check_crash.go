package soak

import (
	"fmt"
	"slices"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// crashesAllowed is how many engines a request may crash before the nodes stop sending it. Once every
	// undisturbed node has had time to learn of the last crash, it may be sent sendsAfterCrashes more times.
	crashesAllowed    = 3
	sendsAfterCrashes = 3
)

// requestKey identifies a request that crashes engines independently of its ID.
type requestKey struct {
	path string
	body string
}

// checkCrashLimit reports live requests that are still sent after they crashed crashesAllowed engines.
func checkCrashLimit(h *History, bounds Bounds) []string {
	crashes := make(map[requestKey][]time.Time)
	for _, crash := range h.Crashes {
		if !crashesEngine(crash.Body) {
			continue
		}
		key := requestKey{crash.Path, crash.Body}
		crashes[key] = append(crashes[key], crash.At)
	}
	sendsAfter := make(map[requestKey]int)
	forEachRun(h, func(_ *EngineRecord, run standin.Run) {
		key := requestKey{run.Path, run.Body}
		if len(crashes[key]) < crashesAllowed {
			return
		}
		slices.SortFunc(crashes[key], time.Time.Compare)
		limitReachedAt := crashes[key][crashesAllowed-1]
		if run.At.Sub(limitReachedAt) > bounds.Settle && h.undisturbed(anyNode, run.At, run.At, bounds.Settle) {
			sendsAfter[key]++
		}
	})
	var found []string
	for key, sends := range sendsAfter {
		if sends > sendsAfterCrashes {
			found = append(found, fmt.Sprintf("%s, which crashed %d engines, was sent %d times after the third crash was known",
				key.path, len(crashes[key]), sends))
		}
	}
	return found
}
