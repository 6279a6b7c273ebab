// Package usage decides what is reported of the tenants' use: per window of time, how
// many requests of each tenant began to run. Nodes write what they counted into the
// log; the leader adds it up, writes the report there, and only then tells it. It has
// no input, output or clock.
//
// Invariants: the first report of a window that stands in the log is the only one that
// is ever told; a node's later counts of a window take the place of its earlier ones,
// so a record that is written twice counts once.
package usage

import (
	"maps"
	"time"
)

// Window numbers a span of time: window k begins k spans after the start of 1970.
type Window int64

// WindowOf returns the window that a moment lies in.
func WindowOf(at time.Time, span time.Duration) Window { return Window(at.UnixNano() / int64(span)) }

// End is the moment at which the window ends.
func (w Window) End(span time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(span)) }

// Counts is the number of requests of each tenant.
type Counts map[string]int64

// Sum is the number of requests of all tenants.
func (c Counts) Sum() int64 {
	var sum int64
	for count := range maps.Values(c) {
		sum += count
	}
	return sum
}

// CountRecord is what one process has counted in a window so far, encoded as msgpack.
type CountRecord struct {
	// Source names the process start.
	Source string `msgpack:"s"`
	Window Window `msgpack:"w"`
	Counts Counts `msgpack:"c"`
}

// ReportRecord is the report of one window, encoded as msgpack.
type ReportRecord struct {
	Window Window `msgpack:"w"`
	Counts Counts `msgpack:"c"`
	// CountsFrom is the offset before which no count of a later window stands.
	CountsFrom int64 `msgpack:"f"`
}

// window is what is known of a window that was not reported yet.
type window struct {
	// first is the offset of its first count.
	first    int64
	bySource map[string]Counts
}

// Ledger is what a reader of the records knows.
type Ledger struct {
	// NextCount and NextReport are the offsets to read from.
	NextCount  int64
	NextReport int64
	windows    map[Window]*window
	reports    map[Window]Counts
	newest     Window
}

// NewLedger returns the state before the first record.
func NewLedger() *Ledger {
	return &Ledger{windows: make(map[Window]*window), reports: make(map[Window]Counts)}
}

// ApplyCount takes the count at the offset NextCount. It returns how many requests came
// too late for the report of their window.
func (l *Ledger) ApplyCount(record CountRecord) int64 {
	offset := l.NextCount
	l.NextCount++
	if l.isOver(record.Window) {
		return record.Counts.Sum()
	}
	known, found := l.windows[record.Window]
	if !found {
		known = &window{first: offset, bySource: make(map[string]Counts)}
		l.windows[record.Window] = known
	}
	if record.Counts.Sum() > known.bySource[record.Source].Sum() {
		known.bySource[record.Source] = record.Counts
	}
	return 0
}

// ApplyReport takes the report at the offset NextReport.
func (l *Ledger) ApplyReport(record ReportRecord) {
	l.NextReport++
	if l.isOver(record.Window) {
		return
	}
	l.reports = map[Window]Counts{record.Window: record.Counts}
	l.newest = record.Window
	maps.DeleteFunc(l.windows, func(each Window, _ *window) bool { return each <= record.Window })
	l.NextCount = max(l.NextCount, record.CountsFrom)
}

// isOver tells whether the window's report stands in the log, or one of a later window:
// reports are written in the order of their windows.
func (l *Ledger) isOver(each Window) bool { return len(l.reports) > 0 && each <= l.newest }

// Newest returns the newest report; false when there is none.
func (l *Ledger) Newest() (ReportRecord, bool) {
	counts, found := l.reports[l.newest]
	return ReportRecord{Window: l.newest, Counts: counts}, found
}

// Next is the window to report next: the one after the newest that was reported, or
// else the earlier one of the first with a count and the given one.
func (l *Ledger) Next(otherwise Window) Window {
	if len(l.reports) > 0 {
		return l.newest + 1
	}
	next := otherwise
	for each := range l.windows {
		next = min(next, each)
	}
	return next
}

// Report returns the report of a window as far as counts were read.
func (l *Ledger) Report(of Window) ReportRecord {
	report := ReportRecord{Window: of, Counts: make(Counts), CountsFrom: l.NextCount}
	if known, found := l.windows[of]; found {
		for counts := range maps.Values(known.bySource) {
			for tenant, count := range counts {
				report.Counts[tenant] += count
			}
		}
	}
	for each, known := range l.windows {
		if each > of {
			report.CountsFrom = min(report.CountsFrom, known.first)
		}
	}
	return report
}
