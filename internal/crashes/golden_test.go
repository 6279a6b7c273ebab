package crashes

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// TestRecordsOfEarlierBuilds guards against incompatible changes of the encoding of records and messages.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t,
		goldenrecord.RecordType{Name: "value", Value: &value{}, Added: map[string][]string{
			"843b092": {"l"}, "0fdc9d0": {"l"}, "34585b3": {"l"},
		}},
		goldenrecord.RecordType{Name: "message", Value: &message{}},
	)
}

// TestKeysOfEarlierBuilds guards against incompatible changes of the keys of records.
func TestKeysOfEarlierBuilds(t *testing.T) {
	record := quarantine.Record{Engine: "e-1", At: time.UnixMilli(1234), Offset: 7}
	record.Fingerprint[0] = 0xab
	encoded, err := encode(record)
	assert.NilError(t, err)
	encoded.Offset = record.Offset
	if commit := goldenrecord.WritingCommit(); commit != "" {
		goldenrecord.Write(t, commit, "keyed", &encoded)
		return
	}
	for _, commit := range goldenrecord.Commits(t, "keyed") {
		var golden eventlog.KeyedRecord
		assert.NilError(t, msgpack.Unmarshal(goldenrecord.Read(t, commit, "keyed"), &golden))
		assert.Equal(t, golden.Key, encoded.Key)
		assert.Equal(t, golden.Offset, encoded.Offset)
		decoded, err := decode(golden)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, record)
	}
}
