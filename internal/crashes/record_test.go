package crashes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

var crashingFingerprint = quarantine.Request{Method: "POST", Host: "h", Target: "/crashing"}.Fingerprint()

func TestRecordRoundTrip(t *testing.T) {
	for _, record := range []quarantine.Record{
		{Fingerprint: crashingFingerprint, Engine: "i-1/2", Live: true, At: time.UnixMilli(1234), Offset: 7},
		{Fingerprint: crashingFingerprint, Trial: "claim", At: time.UnixMilli(1234), Offset: 7},
	} {
		encoded, err := encode(record)
		assert.NilError(t, err)
		encoded.Offset = 7
		decoded, err := decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, record)

		removed, err := decode(deletion(record))
		assert.NilError(t, err)
		assert.Equal(t, removed.Key(), record.Key())
	}
}

func TestDecodeRejectsInvalidRecords(t *testing.T) {
	name := crashingFingerprint.String()
	for _, wrong := range []eventlog.KeyedRecord{
		{Key: ""}, {Key: name}, {Key: name + "/engine"}, {Key: name + "/engine/"}, {Key: name + "/other/a"},
		{Key: "zz/engine/a"}, {Key: "abcd/engine/a"}, {Key: name + "/engine/a"},
		{Key: name + "/engine/a", Value: []byte{0xdd, 0xff, 0xff, 0xff, 0xff}},
	} {
		_, err := decode(wrong)
		assert.Assert(t, err != nil, "%q", wrong.Key)
	}
}

func FuzzDecode(f *testing.F) {
	encoded, err := encode(quarantine.Record{Fingerprint: crashingFingerprint, Engine: "e", At: time.UnixMilli(1)})
	assert.NilError(f, err)
	f.Add(encoded.Key, encoded.Value, false)
	f.Add(encoded.Key, []byte{}, true)
	f.Fuzz(func(t *testing.T, key string, value []byte, deleted bool) {
		record, err := decode(eventlog.KeyedRecord{Key: key, Value: value, Deleted: deleted})
		if err == nil && (record.Engine == "") == (record.Trial == "") {
			t.Errorf("%q must be either a crash or a trial", key)
		}
	})
}
