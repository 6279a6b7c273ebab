package logrelay

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// TestRecordsOfEarlierBuilds guards against records and messages that are misread between this build and earlier
// ones.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "member", Value: &member{}, Added: map[string][]string{
			"843b092": {"r", "v"}, "0fdc9d0": {"v"}, "34585b3": {"v"},
		}},
		goldenrecord.RecordType{Name: "request", Value: &request{}, Added: map[string][]string{
			"843b092": {"x"}, "0fdc9d0": {"x"},
		}},
		goldenrecord.RecordType{Name: "response", Value: &response{}},
	)
}

// TestNumbersOfEarlierBuilds guards against changed numbers of operations and outcomes, which other builds would
// misinterpret.
func TestNumbersOfEarlierBuilds(t *testing.T) {
	goldenrecord.CheckEnum(t, "numbers", map[string]int64{
		"append": int64(opAppend), "append_at": int64(opAppendAt), "read": int64(opRead), "newest": int64(opNewest),
		"read_keyed": int64(opReadKeyed), "replica_newest": int64(opReplicaNewest), "replica_read": int64(opReplicaRead),
		"put_keyed": int64(opPutKeyed),
		"done":      int64(outcomeDone), "not_done": int64(outcomeNotDone), "unknown": int64(outcomeUnknown),
		"conflict": int64(outcomeConflict), "gone": int64(outcomeTrimmed), "no_way": int64(outcomeCannotRelay),
	})
}
