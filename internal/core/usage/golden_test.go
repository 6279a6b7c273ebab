package usage

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against records that earlier builds misread, and against misreading theirs.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "count", Value: &CountRecord{}},
		goldenrecord.RecordType{Name: "report", Value: &ReportRecord{}},
	)
}
