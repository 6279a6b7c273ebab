package coldpermits

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against messages that an earlier build cannot decode, and against earlier messages that this build cannot.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "question", Value: &permitRequest{}},
		goldenrecord.RecordType{Name: "answer", Value: &permitResponse{}},
	)
}

// Guards against renumbered outcomes, which another build would take for different ones.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckEnum(t, "numbers", map[string]int64{
		"granted": int64(Granted), "paced": int64(RateLimited), "not_leading": int64(NotLeading),
		"unknown": int64(UnknownService), "unanswered": int64(Unanswered), "withheld": int64(Suppressed),
	})
}
