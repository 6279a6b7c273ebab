package explain

import (
	"fmt"
	"strconv"
	"strings"
)

// Messages that the leader logs about usage reports and engine orders.
const (
	usageReported   = "usage report attempted"
	usageDelayed    = "usage not reported yet"
	usageCountsLate = "usage counts arrived after their report was decided"
	enginesOrdered  = "engines ordered"
)

// matches reports whether the line concerns the ID of a request, an item, a batch job with or without its tenant,
// a usage window, or the name of a service for which engines were requested from the platform.
func (l *Line) matches(id string) bool {
	switch l.Message {
	case usageReported, usageDelayed, usageCountsLate:
		return strconv.FormatFloat(l.number("window"), 'f', -1, 64) == id
	case enginesOrdered:
		return l.text("service") == id
	default:
		return l.text("id") == id || l.text("item") == id || isJobID(l.text("job"), id)
	}
}

// isJobID reports whether the ID is the job's full name or the part after its tenant.
func isJobID(job, id string) bool { return job == id || strings.HasSuffix(job, "/"+id) }

// windowCause describes the outcome of a usage window's report.
func windowCause(trace *Trace) string {
	reported := trace.last(usageReported)
	if reported == nil {
		delayed := trace.last(usageDelayed)
		return fmt.Sprintf("Not reported; the last attempt, by %s, failed: %s.%s", delayed.Node, delayed.text("error"), trace.contextNotes())
	}
	inTime := "late"
	if isInTime, _ := reported.Fields["in_time"].(bool); isInTime {
		inTime = "in time"
	}
	text := fmt.Sprintf("Reported %d times, last by %s under fencing token %.0f with %.0f requests of %.0f tenants: %s, %s.",
		trace.count(usageReported), reported.Node, reported.number("fence"), reported.number("requests"),
		reported.number("tenants"), reported.text("answer"), inTime)
	missing, sources := 0.0, []string{}
	for _, line := range trace.Lines {
		if line.Message == usageCountsLate {
			missing += line.number("requests")
			sources = append(sources, line.text("source"))
		}
	}
	if missing > 0 {
		text += fmt.Sprintf(" Counts from %s with %.0f requests arrived after the window was closed.", strings.Join(sources, ", "), missing)
	}
	return text + trace.contextNotes()
}

// orderCause describes the outcome of the orders of a service's engines.
func orderCause(trace *Trace) string {
	var orders []string
	for _, line := range trace.Lines {
		if line.Message == enginesOrdered {
			orders = append(orders, fmt.Sprintf("%.0f in %s with %.0f present, for %.0f items (%s by %s)", line.number("count"),
				line.text("zone_ordered"), line.number("present"), line.number("items"), line.text("answer"), line.Node))
		}
	}
	return "Engines ordered: " + strings.Join(orders, "; ") + "." + trace.contextNotes()
}
