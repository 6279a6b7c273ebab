package soak

import (
	"fmt"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkMixed: a success is the caller's own whole answer.
func checkMixed(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if !call.Whole || call.Answer.Status != statusOK {
			continue
		}
		if call.Answer.ID != call.ID || !call.Answer.Stamped {
			found = append(found, fmt.Sprintf("request %s got an answer to %q, stamped %t", call.ID, call.Answer.ID, call.Answer.Stamped))
		}
		if call.Kind != standin.RouteStream && call.Answer.Body != standin.Answer(call.ID) {
			found = append(found, fmt.Sprintf("request %s got the body %q", call.ID, call.Answer.Body))
		}
	}
	return found
}

// checkStreams: a stream that ends as whole has every event once, in order.
func checkStreams(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if call.Kind != standin.RouteStream || call.Answer.Status != statusOK {
			continue
		}
		for i, data := range call.Answer.Events {
			if item, _ := splitEvent(data); call.Answer.Numbers[i] != int64(i+1) || item != standin.EventData(call.ID, i+1) {
				found = append(found, fmt.Sprintf("stream %s has event %d %q at place %d", call.ID, call.Answer.Numbers[i], data, i+1))
				break
			}
		}
		if call.Whole && len(call.Answer.Events) != eventsOf(call.ID) {
			found = append(found, fmt.Sprintf("stream %s ended as whole after %d of %d events", call.ID, len(call.Answer.Events), eventsOf(call.ID)))
		}
	}
	return found
}

// checkTwice: what is not repeatable runs once at most.
func checkTwice(h *History, _ Bounds) []string {
	var found []string
	runs := make(map[string]int)
	eachRun(h, func(_ *EngineSeen, run standin.Run) { runs[run.ID]++ })
	for _, call := range h.Calls {
		if call.Kind != standin.RouteSafe && runs[call.ID] > 1 {
			found = append(found, fmt.Sprintf("request %s of a route that is not repeatable ran %d times", call.ID, runs[call.ID]))
		}
	}
	return found
}
