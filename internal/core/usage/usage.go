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

// window is what is known of the counts of a window.
type window struct {
	// first is the offset of its first count.
	first    int64
	bySource map[string]Counts
}

// take takes a count; a smaller one is older.
func (w *window) take(record CountRecord) {
	if record.Counts.Sum() > w.bySource[record.Source].Sum() {
		w.bySource[record.Source] = record.Counts
	}
}

// sum adds up the counts of all processes.
func (w *window) sum() Counts {
	sum := make(Counts)
	for counts := range maps.Values(w.bySource) {
		for tenant, count := range counts {
			sum[tenant] += count
		}
	}
	return sum
}

// beyond is how many requests of the counts a report lacks.
func (c Counts) beyond(reported Counts) int64 {
	var lacking int64
	for tenant, count := range c {
		lacking += max(0, count-reported[tenant])
	}
	return lacking
}

// Ledger is what a reader of the records knows.
type Ledger struct {
	// NextCount and NextReport are the offsets to read from.
	NextCount  int64
	NextReport int64
	windows    map[Window]*window
	// newest is the newest report, nil before the first; reported holds what was read of
	// the counts of its window, and missing how many of them were told as too late.
	newest   *ReportRecord
	reported *window
	missing  int64
	// unreported is a window that was surely not reported when reports were lost, as long as
	// none was read since; zero otherwise.
	unreported Window
}

// NewLedger returns the state before the first record.
func NewLedger() *Ledger {
	return &Ledger{windows: make(map[Window]*window)}
}

// ApplyCount takes the count at the offset NextCount. It returns how many requests more are
// known to have come too late for the report of their window. Of windows before the
// newest that was reported nothing is known any more.
func (l *Ledger) ApplyCount(record CountRecord) int64 {
	offset := l.NextCount
	l.NextCount++
	if l.isOver(record.Window) {
		return l.applyLate(record)
	}
	known, found := l.windows[record.Window]
	if !found {
		known = &window{first: offset, bySource: make(map[string]Counts)}
		l.windows[record.Window] = known
	}
	known.take(record)
	return 0
}

// applyLate takes a count of a window that was reported. The report may hold it: processes
// write their whole count again, and a new leader reads what the one before has read.
func (l *Ledger) applyLate(record CountRecord) int64 {
	if record.Window != l.newest.Window {
		return 0
	}
	l.reported.take(record)
	before := l.missing
	l.missing = max(before, l.reported.sum().beyond(l.newest.Counts))
	return l.missing - before
}

// ApplyReport takes the report at the offset NextReport.
func (l *Ledger) ApplyReport(record ReportRecord) {
	l.NextReport++
	// Reports are written in the order of their windows: none that was lost is of a later one.
	l.unreported = 0
	if l.isOver(record.Window) {
		return
	}
	l.newest, l.missing = &record, 0
	l.reported = l.windows[record.Window]
	if l.reported == nil {
		l.reported = &window{bySource: make(map[string]Counts)}
	}
	maps.DeleteFunc(l.windows, func(each Window, _ *window) bool { return each <= record.Window })
	l.NextCount = max(l.NextCount, record.CountsFrom)
}

// LoseReports passes over reports that the log no longer holds, up to the offset of the first that
// it does. Which windows they were of is not known, so that those before the given one, which
// nobody can have reported yet, are left out unless a report behind tells more: the platform does
// without a report, but two of a window that differ break the promise. A copy of the newest window
// under a key of a compacted topic would leave none out, for one more write before each report and
// care for copies that land late; the log holds reports for longer than windows are made up for.
func (l *Ledger) LoseReports(first int64, unreported Window) {
	l.NextReport = max(l.NextReport+1, first)
	l.unreported = unreported
}

// isOver tells whether the window's report stands in the log, or one of a later window:
// reports are written in the order of their windows.
func (l *Ledger) isOver(each Window) bool { return l.newest != nil && each <= l.newest.Window }

// Newest returns the newest report; false when there is none.
func (l *Ledger) Newest() (ReportRecord, bool) {
	if l.newest == nil {
		return ReportRecord{}, false
	}
	return *l.newest, true
}

// Next is the window to report next: the one after the newest that was reported, or
// else the earlier one of the first with a count and the given one. None is returned that
// a lost report may have been of.
func (l *Ledger) Next(otherwise Window) Window {
	if l.newest != nil {
		return max(l.newest.Window+1, l.unreported)
	}
	next := otherwise
	for each := range l.windows {
		next = min(next, each)
	}
	return max(next, l.unreported)
}

// Report returns the report of a window as far as counts were read.
func (l *Ledger) Report(of Window) ReportRecord {
	report := ReportRecord{Window: of, Counts: make(Counts), CountsFrom: l.NextCount}
	if known, found := l.windows[of]; found {
		report.Counts = known.sum()
	}
	for each, known := range l.windows {
		if each > of {
			report.CountsFrom = min(report.CountsFrom, known.first)
		}
	}
	return report
}
