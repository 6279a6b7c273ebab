package coldpermits

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against a record or message that an earlier build misreads, or whose earlier form this build does.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.Sample{Name: "question", Value: &permitRequest{}},
		goldenrecord.Sample{Name: "answer", Value: &permitResponse{}},
	)
}

// Guards against numbers that another build takes for another outcome.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckNumbers(t, "numbers", map[string]int64{
		"granted": int64(Granted), "paced": int64(Paced), "not_leading": int64(NotLeading), "unknown": int64(Unknown),
		"unanswered": int64(Unanswered), "withheld": int64(Withheld),
	})
}
