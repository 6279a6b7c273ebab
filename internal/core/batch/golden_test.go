package batch

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against a record or message that an earlier build misreads, or whose earlier form this build does.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.Sample{Name: "record", Value: &Record{}, Added: map[string][]string{"843b092": {"j.cv", "j.hm"}}},
		goldenrecord.Sample{Name: "payload", Value: &Payload{}},
	)
}

// Guards against numbers that another build takes for another outcome.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckNumbers(t, "numbers", map[string]int64{"completed": int64(Completed), "expired": int64(Expired)})
}
