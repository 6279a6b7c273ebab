package soak

import (
	"fmt"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkResponses reports successful responses that are incomplete or belong to another request.
func checkResponses(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if !call.Intact || call.Answer.Status != statusOK {
			continue
		}
		if call.Answer.ID != call.ID || !call.Answer.Stamped {
			found = append(found, fmt.Sprintf("request %s got the response to %q, stamped %t", call.ID, call.Answer.ID, call.Answer.Stamped))
		}
		if call.Kind != standin.RouteStream && call.Answer.Body != standin.PlainBody(call.ID) {
			found = append(found, fmt.Sprintf("request %s got the body %q", call.ID, call.Answer.Body))
		}
	}
	return found
}

// checkStreamOrder reports streams with missing, repeated or reordered events.
func checkStreamOrder(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if call.Kind != standin.RouteStream || call.Answer.Status != statusOK {
			continue
		}
		for i, data := range call.Answer.Events {
			if item, _ := splitEvent(data); call.Answer.EventIDs[i] != int64(i+1) || item != standin.EventData(call.ID, i+1) {
				found = append(found, fmt.Sprintf("stream %s has event %d %q at position %d", call.ID, call.Answer.EventIDs[i], data, i+1))
				break
			}
		}
		if call.Intact && len(call.Answer.Events) != eventsOf(call.ID) {
			found = append(found, fmt.Sprintf("stream %s ended as complete after %d of %d events", call.ID, len(call.Answer.Events), eventsOf(call.ID)))
		}
	}
	return found
}

// checkAtMostOnce reports requests of non-repeatable routes that ran more than once.
func checkAtMostOnce(h *History, _ Bounds) []string {
	var found []string
	runs := make(map[string]int)
	forEachRun(h, func(_ *EngineRecord, run standin.Run) { runs[run.ID]++ })
	for _, call := range h.Calls {
		if call.Kind != standin.RouteSafe && !call.Resumable && runs[call.ID] > 1 {
			found = append(found, fmt.Sprintf("request %s of a non-repeatable route ran %d times", call.ID, runs[call.ID]))
		}
	}
	return found
}
