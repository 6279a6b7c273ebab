package crashes

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// A record's key in the log is FINGERPRINT/engine/ID or FINGERPRINT/trial/ID, so that
// each observation has a key of its own and writing it twice changes nothing.
const (
	keySeparator = "/"
	keyEngine    = "engine"
	keyTrial     = "trial"
	keyParts     = 3
)

// value is what a record holds beside its key, encoded as msgpack.
type value struct {
	// AtMs is the time of day of the observation in milliseconds since 1970.
	AtMs int64 `msgpack:"a"`
	// Isolated is quarantine.Record.Isolated.
	Isolated bool `msgpack:"i,omitempty"`
}

func keyOf(record quarantine.Record) string {
	kind, id := keyEngine, record.Engine
	if record.Trial != "" {
		kind, id = keyTrial, record.Trial
	}
	return strings.Join([]string{record.Fingerprint.String(), kind, id}, keySeparator)
}

// encode returns the record as it stands in the log.
func encode(record quarantine.Record) (eventlog.KeyedRecord, error) {
	raw, err := msgpack.Marshal(&value{AtMs: record.At.UnixMilli(), Isolated: record.Isolated})
	if err != nil {
		return eventlog.KeyedRecord{}, errors.Wrap(err, "encode the record")
	}
	return eventlog.KeyedRecord{Key: keyOf(record), Value: raw}, nil
}

// deletion returns what takes the record out of the log.
func deletion(record quarantine.Record) eventlog.KeyedRecord {
	return eventlog.KeyedRecord{Key: keyOf(record), Deleted: true}
}

// decode reads a record of the log; of one that was deleted only its name and offset.
func decode(from eventlog.KeyedRecord) (quarantine.Record, error) {
	parts := strings.SplitN(from.Key, keySeparator, keyParts)
	if len(parts) != keyParts || parts[2] == "" {
		return quarantine.Record{}, errors.Errorf("key %q", from.Key)
	}
	record := quarantine.Record{Offset: from.Offset}
	fingerprint, err := hex.DecodeString(parts[0])
	if err != nil || len(fingerprint) != len(record.Fingerprint) {
		return quarantine.Record{}, errors.Errorf("fingerprint %q", parts[0])
	}
	copy(record.Fingerprint[:], fingerprint)
	switch parts[1] {
	case keyEngine:
		record.Engine = parts[2]
	case keyTrial:
		record.Trial = parts[2]
	default:
		return quarantine.Record{}, errors.Errorf("kind %q", parts[1])
	}
	if from.Deleted {
		return record, nil
	}
	if err := msgpackguard.Check(from.Value); err != nil {
		return quarantine.Record{}, errors.Wrap(err, "check the value")
	}
	var decoded value
	if err := msgpack.Unmarshal(from.Value, &decoded); err != nil {
		return quarantine.Record{}, errors.Wrap(err, "decode the value")
	}
	record.At, record.Isolated = time.UnixMilli(decoded.AtMs), decoded.Isolated
	return record, nil
}
