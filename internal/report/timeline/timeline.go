// Package timeline builds a timeline from the nodes' log lines: batch jobs, requests, leadership, contact with the log,
// configurations and node starts. It keeps counts and bounded lists rather than the lines.
package timeline

import "time"

// Timeline holds the events found in the log lines.
type Timeline struct {
	// First and Last are the bounds of the time covered.
	First, Last time.Time
	Lines       LineCounts
	Sources     []Source
	Nodes       int

	Requests  *Rates
	Tries     *Rates
	Contact   *Rates
	Topics    *Rates
	Processes *Rates

	Jobs      []Job
	Terms     []Term
	Takeovers []Takeover
	Versions  []Version
	// Gaps holds the longest gaps, the longest first; GapsFound is the number of all gaps.
	Gaps      []Gap
	GapsFound int

	// NotInLogs describes what the lines do not show.
	NotInLogs []string
}

// LineCounts counts lines by how they were processed.
type LineCounts struct {
	Read       int `json:"read"`
	Unreadable int `json:"unreadable"`
	// OutOfRange counts lines outside the requested range.
	OutOfRange int `json:"out_of_range"`
	// Suppressed counts lines that nodes reported as suppressed by their rate limit per message.
	Suppressed int `json:"suppressed"`
	// Omitted counts events dropped because a list of the timeline was full.
	Omitted int `json:"omitted"`
}

// Source is one log file.
type Source struct {
	Name       string
	Lines      int
	Unreadable int
	// FirstUnreadable is the number of the first unreadable line, from 1, and Reason its error.
	FirstUnreadable int
	Reason          string
}

// Options selects the lines used and the gaps reported.
type Options struct {
	// From and Until bound the times of the lines; zero means unbounded.
	From, Until time.Time
	// MinimumGap is the length of the shortest gap reported.
	MinimumGap time.Duration
}

// Span returns the time between the first and the last line.
func (t *Timeline) Span() time.Duration { return t.Last.Sub(t.First) }
