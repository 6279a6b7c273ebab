package jobrelay

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// Guards against changes of the encoding that break the exchange with earlier builds.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "request", Value: &request{}, Added: map[string][]string{"843b092": {"h"}}},
		goldenrecord.RecordType{Name: "response", Value: &response{}},
	)
}

// Guards against renumbering: nodes of different builds would execute different operations.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckEnum(t, "numbers", map[string]int64{
		"results": int64(opResults), "body": int64(opBody), "end": int64(opEnd),
	})
}
