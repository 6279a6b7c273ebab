package soak

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// IDs of items that fail at each run begin with failPrefix, those of items that engines reject as
	// impossible with impossiblePrefix.
	failPrefix       = "fail-"
	impossiblePrefix = "never-"
	// Bodies of requests that crash each engine contain crashPrefix.
	crashPrefix = "crash-"
	// IDs of items under whose first interruptedCrashes runs engines crash begin with interruptedPrefix. Such items must be
	// completed like all others.
	interruptedPrefix  = "interrupted-"
	interruptedCrashes = 4

	minEvents = 3
	// One in longOneIn outputs has longEvents events, the others have minEvents plus 0 to shortEventsSpread-1.
	longOneIn         = 12
	longEvents        = 60
	shortEventsSpread = 16
)

// eventsOf returns the number of events in the output of a request, derived from its ID.
func eventsOf(id string) int {
	draw := xxhash.Sum64String(id)
	if isLong(id) {
		return minLongEvents + int(draw%longEventsSpread)
	}
	if draw%longOneIn == 0 {
		return longEvents
	}
	return minEvents + int(draw/longOneIn%shortEventsSpread)
}

func failsAlways(id string) bool { return strings.HasPrefix(id, failPrefix) }

func isImpossible(id string) bool { return strings.HasPrefix(id, impossiblePrefix) }

// crashesEngine reports whether an engine crashes when it starts a request with the body.
func crashesEngine(body string) bool { return strings.Contains(body, crashPrefix) }

// itemCrashes counts the engines that crashed under interrupted items.
type itemCrashes struct {
	mu     sync.Mutex
	counts map[string]int
}

func newItemCrashes() *itemCrashes { return &itemCrashes{counts: make(map[string]int)} }

// crashesEngine reports whether a run crashes its engine, and counts it if its item is an interrupted one.
func (c *itemCrashes) crashesEngine(run standin.Run) bool {
	if crashesEngine(run.Body) {
		return true
	}
	if !strings.HasPrefix(run.ID, interruptedPrefix) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[run.ID]++
	return c.counts[run.ID] <= interruptedCrashes
}

// One in unscoredOneIn items has no scoring call.
const unscoredOneIn = 4

// scoringIDOf returns the ID of an item's scoring call, or "" if it has none.
func scoringIDOf(id string) string {
	if xxhash.Sum64String("scoring of "+id)%unscoredOneIn == 0 {
		return ""
	}
	return "score-" + id
}
