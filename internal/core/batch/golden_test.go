package batch

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against records and payloads that earlier builds cannot decode, or whose earlier form this build cannot.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "record", Value: &Record{}, Added: map[string][]string{
			"843b092": {"j.at", "j.cv", "j.hm"}, "0fdc9d0": {"j.at"}, "34585b3": {"j.at"},
		}},
		goldenrecord.RecordType{Name: "payload", Value: &Payload{}},
	)
}

// Guards against outcome numbers that mean something else in another build.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckEnum(t, "numbers", map[string]int64{"completed": int64(Completed), "expired": int64(Expired)})
}
