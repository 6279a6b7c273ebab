package lease

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against encodings that an earlier build and this one cannot exchange.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "record", Value: &Record{}},
	)
}

// Guards against renumbered record kinds.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckEnum(t, "numbers", map[string]int64{
		"claim": int64(Claim), "renew": int64(Renew), "release": int64(Release), "order": int64(Order),
	})
}
