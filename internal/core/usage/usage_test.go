package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestWindowOfCountsFromUnixEpoch(t *testing.T) {
	at := time.Unix(1767225607, 999)
	window := WindowOf(at, 5*time.Second)
	assert.Equal(t, window, Window(353445121))
	assert.Assert(t, window.End(5*time.Second).Equal(time.Unix(1767225610, 0)))
	assert.Equal(t, WindowOf(window.End(5*time.Second), 5*time.Second), window+1)
}

func TestLaterCountsOfSourceReplaceEarlierOnes(t *testing.T) {
	ledger := NewLedger()
	for _, record := range []CountRecord{
		{"a", 7, Counts{"x": 1}}, {"a", 7, Counts{"x": 2, "y": 1}}, {"b", 7, Counts{"x": 4}},
		// Repeated writes whose first acknowledgement was lost.
		{"a", 7, Counts{"x": 1}}, {"b", 7, Counts{"x": 4}},
		{"a", 8, Counts{"x": 9}},
	} {
		assert.Equal(t, ledger.ApplyCount(record), int64(0))
	}
	assert.Equal(t, ledger.Next(9), Window(7))
	assert.Equal(t, ledger.Next(3), Window(3))
	assert.DeepEqual(t, ledger.Report(7), ReportRecord{Window: 7, Counts: Counts{"x": 6, "y": 1}, CountsFrom: 5})
	assert.DeepEqual(t, ledger.Report(6), ReportRecord{Window: 6, Counts: Counts{}, CountsFrom: 0})
}

func TestFirstReportOfWindowIsKept(t *testing.T) {
	ledger := NewLedger()
	ledger.ApplyCount(CountRecord{"a", 7, Counts{"x": 1}})
	ledger.ApplyReport(ReportRecord{Window: 7, Counts: Counts{"x": 1}, CountsFrom: 1})
	ledger.ApplyReport(ReportRecord{Window: 7, Counts: Counts{"x": 5}, CountsFrom: 1})
	newest, found := ledger.Newest()
	assert.Assert(t, found)
	assert.DeepEqual(t, newest.Counts, Counts{"x": 1})
	assert.Equal(t, ledger.Next(100), Window(8))
	assert.Equal(t, ledger.ApplyCount(CountRecord{"b", 7, Counts{"x": 3}}), int64(3), "too late for the report")
	assert.Equal(t, ledger.NextReport, int64(2))
}

// A new leader reads the newest report and then only the counts from CountsFrom on.
func TestLedgerStartedAtNewestReportProducesSameReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		windows := rapid.Int64Range(1, 4)
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) CountRecord {
			return CountRecord{
				Source: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "source"),
				Window: Window(windows.Draw(t, "window")), Counts: Counts{"x": rapid.Int64Range(1, 9).Draw(t, "count")},
			}
		}), 0, 30).Draw(t, "records")
		readBefore := rapid.IntRange(0, len(records)).Draw(t, "cut")
		reported := Window(windows.Draw(t, "reported"))
		continuous := NewLedger()
		for _, record := range records[:readBefore] {
			continuous.ApplyCount(record)
		}
		report := continuous.Report(reported)
		continuous.ApplyReport(report)
		for _, record := range records[readBefore:] {
			continuous.ApplyCount(record)
		}
		restarted := NewLedger()
		restarted.ApplyReport(report)
		for int(restarted.NextCount) < len(records) {
			restarted.ApplyCount(records[restarted.NextCount])
		}
		for next := reported + 1; next <= 5; next++ {
			assert.DeepEqual(t, restarted.Report(next), continuous.Report(next))
		}
	})
}

// Processes repeat their full count, and a new leader reads counts that its predecessor's report contains.
func TestApplyCountReturnsOnlyUnreportedRequests(t *testing.T) {
	ledger := NewLedger()
	ledger.ApplyCount(CountRecord{"a", 7, Counts{"x": 3}})
	ledger.ApplyReport(ReportRecord{Window: 7, Counts: Counts{"x": 3}, CountsFrom: 1})
	assert.Equal(t, ledger.ApplyCount(CountRecord{"a", 7, Counts{"x": 3}}), int64(0), "contained in the report")
	assert.Equal(t, ledger.ApplyCount(CountRecord{"a", 7, Counts{"x": 5}}), int64(2), "two more than in the report")
	assert.Equal(t, ledger.ApplyCount(CountRecord{"a", 7, Counts{"x": 5}}), int64(0), "returned before")
	assert.Equal(t, ledger.ApplyCount(CountRecord{"b", 7, Counts{"y": 1}}), int64(1))

	next := NewLedger()
	next.ApplyReport(ReportRecord{Window: 7, Counts: Counts{"x": 3}, CountsFrom: 0})
	assert.Equal(t, next.ApplyCount(CountRecord{"a", 7, Counts{"x": 3}}), int64(0), "contained in the report")
}

// Guards against a second, different report of a window whose report was lost. A later report ends the
// uncertainty, since reports are in the order of their windows.
func TestNextSkipsWindowsOfLostReports(t *testing.T) {
	ledger := NewLedger()
	ledger.ApplyCount(CountRecord{"a", 7, Counts{"x": 1}})
	ledger.SkipLostReports(4, 9)
	assert.Equal(t, ledger.NextReport, int64(4))
	assert.Equal(t, ledger.Next(5), Window(9))
	assert.Equal(t, ledger.Next(12), Window(9), "the first window that is certainly unreported")
	ledger.ApplyReport(ReportRecord{Window: 7, Counts: Counts{"x": 1}})
	assert.Equal(t, ledger.Next(5), Window(8))
	ledger.SkipLostReports(9, 12)
	assert.Equal(t, ledger.Next(5), Window(12))
}
