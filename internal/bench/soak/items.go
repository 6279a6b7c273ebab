package soak

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// failPrefix and neverPrefix begin the IDs of items that end with a failure at
	// each run, and of those that an engine says can never be run.
	failPrefix  = "fail-"
	neverPrefix = "never-"
	// crashPrefix stands in the body of requests and items under which each engine ends.
	crashPrefix = "crash-"

	minEvents = 3
	// longShare is one in how many outputs is longEvents long, the others are up to
	// shortEvents longer than minEvents.
	longShare   = 12
	longEvents  = 60
	shortEvents = 16
)

// eventsOf is the length of an output in events, by the ID that asks for it.
func eventsOf(id string) int {
	draw := xxhash.Sum64String(id)
	if draw%longShare == 0 {
		return longEvents
	}
	return minEvents + int(draw/longShare%shortEvents)
}

func failsAlways(id string) bool { return strings.HasPrefix(id, failPrefix) }

func neverPossible(id string) bool { return strings.HasPrefix(id, neverPrefix) }

// crashesEngine tells whether an engine ends when it begins a request with the body.
func crashesEngine(body string) bool { return strings.Contains(body, crashPrefix) }

// unscoredShare is one in how many items has no scoring call.
const unscoredShare = 4

// scoringIDOf names an item's scoring call; empty for items that have none.
func scoringIDOf(id string) string {
	if xxhash.Sum64String("scoring of "+id)%unscoredShare == 0 {
		return ""
	}
	return "score-" + id
}
