// Package usage determines the reports of the tenants' usage: the number of requests of
// each tenant that began to run, by time window. Nodes write their counts to the log; the
// leader aggregates them, appends the report to the log, and only then sends it. The package
// has no input, output or clock.
//
// Invariants: the first report of a window in the log is the only one that is ever sent;
// later counts of a process for a window replace its earlier ones, so a record that is
// written twice counts once.
package usage

import (
	"maps"
	"time"
)

// Window is the number of a time window: window k begins k spans after the Unix epoch.
type Window int64

// WindowOf returns the window that contains a moment.
func WindowOf(at time.Time, span time.Duration) Window { return Window(at.UnixNano() / int64(span)) }

func (w Window) End(span time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(span)) }

// Counts is the number of requests of each tenant.
type Counts map[string]int64

// Sum returns the number of requests of all tenants.
func (c Counts) Sum() int64 {
	var sum int64
	for count := range maps.Values(c) {
		sum += count
	}
	return sum
}

// CountRecord is the count of one process for a window so far, encoded as msgpack.
type CountRecord struct {
	// Source identifies the process start.
	Source string `msgpack:"s"`
	Window Window `msgpack:"w"`
	Counts Counts `msgpack:"c"`
}

// ReportRecord is the report of one window, encoded as msgpack.
type ReportRecord struct {
	Window Window `msgpack:"w"`
	Counts Counts `msgpack:"c"`
	// CountsFrom is a count offset before which there are no counts of later windows.
	CountsFrom int64 `msgpack:"f"`
}

// window holds the known counts of a window.
type window struct {
	// first is the offset of its first count.
	first    int64
	bySource map[string]Counts
}

// apply applies a count; of two counts of a source the smaller one is older.
func (w *window) apply(record CountRecord) {
	if record.Counts.Sum() > w.bySource[record.Source].Sum() {
		w.bySource[record.Source] = record.Counts
	}
}

// sum returns the counts of all processes by tenant.
func (w *window) sum() Counts {
	sum := make(Counts)
	for counts := range maps.Values(w.bySource) {
		for tenant, count := range counts {
			sum[tenant] += count
		}
	}
	return sum
}

// missingIn returns the number of requests by which the reported counts are too low.
func (c Counts) missingIn(reported Counts) int64 {
	var missing int64
	for tenant, count := range c {
		missing += max(0, count-reported[tenant])
	}
	return missing
}

// Ledger is the state of a reader of the records.
type Ledger struct {
	// NextCount and NextReport are the next offsets to read.
	NextCount  int64
	NextReport int64
	windows    map[Window]*window
	// newest is the newest report, nil before the first; reported holds the counts of its
	// window that were read, and late how many of its requests ApplyCount returned as too late.
	newest   *ReportRecord
	reported *window
	late     int64
	// unreported is the window given to SkipLostReports until another report is read; zero otherwise.
	unreported Window
}

// NewLedger returns the state before the first record.
func NewLedger() *Ledger {
	return &Ledger{windows: make(map[Window]*window)}
}

// ApplyCount applies the count at the offset NextCount. It returns how many further requests
// are found to be too late for the report of their window; zero for windows before the
// newest reported one, which are no longer tracked.
func (l *Ledger) ApplyCount(record CountRecord) int64 {
	offset := l.NextCount
	l.NextCount++
	if l.isReported(record.Window) {
		return l.applyLate(record)
	}
	known, found := l.windows[record.Window]
	if !found {
		known = &window{first: offset, bySource: make(map[string]Counts)}
		l.windows[record.Window] = known
	}
	known.apply(record)
	return 0
}

// applyLate applies a count of a reported window. The report may contain it already: processes
// repeat their full count, and a new leader reads counts that its predecessor has read.
func (l *Ledger) applyLate(record CountRecord) int64 {
	if record.Window != l.newest.Window {
		return 0
	}
	l.reported.apply(record)
	before := l.late
	l.late = max(before, l.reported.sum().missingIn(l.newest.Counts))
	return l.late - before
}

// ApplyReport applies the report at the offset NextReport.
func (l *Ledger) ApplyReport(record ReportRecord) {
	l.NextReport++
	// Reports are appended in the order of their windows, so the lost ones are of earlier windows.
	l.unreported = 0
	if l.isReported(record.Window) {
		return
	}
	l.newest, l.late = &record, 0
	l.reported = l.windows[record.Window]
	if l.reported == nil {
		l.reported = &window{bySource: make(map[string]Counts)}
	}
	maps.DeleteFunc(l.windows, func(each Window, _ *window) bool { return each <= record.Window })
	l.NextCount = max(l.NextCount, record.CountsFrom)
}

// SkipLostReports skips reports that the log has dropped, up to the first offset that it holds. Their
// windows are unknown, so Next skips all windows before unreported, which no node can have reported
// yet, until a later report is read: a missing report is tolerable, two different reports of a window
// are not.
func (l *Ledger) SkipLostReports(first int64, unreported Window) {
	l.NextReport = max(l.NextReport+1, first)
	l.unreported = unreported
}

// isReported reports whether a report of the window or of a later one was read. Reports are
// appended in the order of their windows.
func (l *Ledger) isReported(number Window) bool { return l.newest != nil && number <= l.newest.Window }

// Newest returns the newest report, if any.
func (l *Ledger) Newest() (ReportRecord, bool) {
	if l.newest == nil {
		return ReportRecord{}, false
	}
	return *l.newest, true
}

// Next returns the next window to report: the one after the newest reported one, or without
// any the earlier of the first window with a count and the given one. Windows that a lost
// report may cover are skipped.
func (l *Ledger) Next(fallback Window) Window {
	if l.newest != nil {
		return max(l.newest.Window+1, l.unreported)
	}
	next := fallback
	for number := range l.windows {
		next = min(next, number)
	}
	return max(next, l.unreported)
}

// Report returns the report of a window from the counts read so far.
func (l *Ledger) Report(number Window) ReportRecord {
	report := ReportRecord{Window: number, Counts: make(Counts), CountsFrom: l.NextCount}
	if known, found := l.windows[number]; found {
		report.Counts = known.sum()
	}
	for other, known := range l.windows {
		if other > number {
			report.CountsFrom = min(report.CountsFrom, known.first)
		}
	}
	return report
}
