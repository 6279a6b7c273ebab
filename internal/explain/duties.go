package explain

import (
	"fmt"
	"strconv"
	"strings"
)

// Messages about what the leader does for the platform.
const (
	usageReported  = "use reported"
	usageDelayed   = "use not reported yet"
	countsLate     = "counts of use came too late"
	enginesOrdered = "engines ordered"
)

// names tells whether the line is about the ID: of a request, an item, a batch job with
// or without its tenant, a window of use or a service whose engines were ordered.
func (l *Line) names(id string) bool {
	switch l.Message {
	case usageReported, usageDelayed, countsLate:
		return strconv.FormatFloat(l.number("window"), 'f', -1, 64) == id
	case enginesOrdered:
		return l.text("service") == id
	default:
		return l.text("id") == id || l.text("item") == id || isJobID(l.text("job"), id)
	}
}

// isJobID tells whether a job's name among all jobs is the ID, or ends with it behind
// its tenant's.
func isJobID(job, id string) bool { return job == id || strings.HasSuffix(job, "/"+id) }

// windowCause says how the report of a window of use went.
func windowCause(way *Way) string {
	reported := way.last(usageReported)
	if reported == nil {
		delayed := way.last(usageDelayed)
		return fmt.Sprintf("Not reported; %s last tried and met: %s.%s", delayed.Node, delayed.text("error"), way.contextNotes())
	}
	inTime := "late"
	if within, _ := reported.Fields["in_time"].(bool); within {
		inTime = "in time"
	}
	text := fmt.Sprintf("Reported %d times, last by %s under token %.0f with %.0f requests of %.0f tenants: %s, %s.",
		way.count(usageReported), reported.Node, reported.number("fence"), reported.number("requests"),
		reported.number("tenants"), reported.text("answer"), inTime)
	missing, sources := 0.0, []string{}
	for _, line := range way.Lines {
		if line.Message == countsLate {
			missing += line.number("requests")
			sources = append(sources, line.text("source"))
		}
	}
	if missing > 0 {
		text += fmt.Sprintf(" Counts of %s with %.0f requests came after it was decided.", strings.Join(sources, ", "), missing)
	}
	return text + way.contextNotes()
}

// orderCause says how the orders of a service's engines went.
func orderCause(way *Way) string {
	var orders []string
	for _, line := range way.Lines {
		if line.Message == enginesOrdered {
			orders = append(orders, fmt.Sprintf("%.0f in %s where %.0f were, for %.0f items (%s by %s)", line.number("count"),
				line.text("zone_ordered"), line.number("present"), line.number("items"), line.text("answer"), line.Node))
		}
	}
	return "Engines ordered: " + strings.Join(orders, "; ") + "." + way.contextNotes()
}
