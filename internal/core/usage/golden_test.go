package usage

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against a record or message that an earlier build misreads, or whose earlier form this build does.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.Sample{Name: "count", Value: &CountRecord{}},
		goldenrecord.Sample{Name: "report", Value: &ReportRecord{}},
	)
}
