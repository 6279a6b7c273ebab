package lease

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against a record or message that an earlier build misreads, or whose earlier form this build does.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.Sample{Name: "record", Value: &Record{}},
	)
}

// Guards against numbers that another build takes for another kind of record.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckNumbers(t, "numbers", map[string]int64{
		"claim": int64(Claim), "renew": int64(Renew), "release": int64(Release), "order": int64(Order),
	})
}
