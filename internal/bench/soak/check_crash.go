package soak

import (
	"fmt"
	"slices"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// crashesAllowed is how many engines may end under a request before it is kept away
	// from them, sendsAfterCrashes how often it may be sent beyond, once all nodes that are
	// in touch have had time to know.
	crashesAllowed    = 3
	sendsAfterCrashes = 3
)

// asking is what a request under which engines end asks for, whatever its ID.
type asking struct {
	path string
	body string
}

// checkCrashes: a request under which engines ended is not sent on and on.
func checkCrashes(h *History, bounds Bounds) []string {
	ends := make(map[asking][]time.Time)
	for _, end := range h.Ends {
		of := asking{end.Path, end.Body}
		ends[of] = append(ends[of], end.At)
	}
	after := make(map[asking]int)
	eachRun(h, func(_ *EngineSeen, run standin.Run) {
		of := asking{run.Path, run.Body}
		if len(ends[of]) < crashesAllowed {
			return
		}
		slices.SortFunc(ends[of], time.Time.Compare)
		third := ends[of][crashesAllowed-1]
		if run.At.Sub(third) > bounds.Contact && h.inTouch(anyNode, run.At, run.At, bounds.Contact) {
			after[of]++
		}
	})
	var found []string
	for of, sends := range after {
		if sends > sendsAfterCrashes {
			found = append(found, fmt.Sprintf("%s, under which %d engines ended, was sent %d times after the third had been known",
				of.path, len(ends[of]), sends))
		}
	}
	return found
}
