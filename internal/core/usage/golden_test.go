package usage

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against records that earlier builds misread, and against misreading theirs.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.Sample{Name: "count", Value: &CountRecord{}},
		goldenrecord.Sample{Name: "report", Value: &ReportRecord{}},
	)
}
