// Package timeline builds from nodes' log lines what happened when: batch jobs, requests, leadership,
// contact with the log, configurations and starts of nodes. It keeps counts and bounded lists, never the lines.
package timeline

import "time"

// Timeline is what the log lines of a run hold.
type Timeline struct {
	// First and Last bound the lines that were used.
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
	// Gaps are the longest ones, the longest first, GapsFound the number of all.
	Gaps      []Gap
	GapsFound int

	// NotInLogs lists what this run's lines lack.
	NotInLogs []string
}

// LineCounts counts lines by what became of them.
type LineCounts struct {
	Read       int `json:"read"`
	Unreadable int `json:"unreadable"`
	// OutOfRange are those before or after the requested range.
	OutOfRange int `json:"out_of_range"`
	// Suppressed are lines that nodes report as not written, above their limit per message.
	Suppressed int `json:"suppressed"`
	// Omitted are events beyond a bound of the timeline's lists.
	Omitted int `json:"omitted"`
}

// Source is one log file.
type Source struct {
	Name       string
	Lines      int
	Unreadable int
	// FirstUnreadable is the number of the first such line, counted from 1, and Reason its error.
	FirstUnreadable int
	Reason          string
}

// Options choose what is used of the lines.
type Options struct {
	// From and Until bound the lines' times; zero is no bound.
	From, Until time.Time
	// MinimumGap is the shortest gap reported.
	MinimumGap time.Duration
}

// Span returns the time between the first and the last line.
func (t *Timeline) Span() time.Duration { return t.Last.Sub(t.First) }
