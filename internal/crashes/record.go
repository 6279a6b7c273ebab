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

// A record's key in the log is FINGERPRINT/engine/ID or FINGERPRINT/trial/ID. Each crash and each trial has its own
// key, so that writing its record is idempotent.
const (
	keySeparator = "/"
	keyEngine    = "engine"
	keyTrial     = "trial"
	keyPartCount = 3
)

// value is the value of a record, encoded as msgpack.
type value struct {
	// AtMs is the wall-clock time of the crash or claim in Unix milliseconds.
	AtMs int64 `msgpack:"a"`
	// Isolated is written by older builds for items of batch jobs, and ignored.
	Isolated bool `msgpack:"i,omitempty"`
	// Live is the field of the same name in quarantine.Record.
	Live bool `msgpack:"l,omitempty"`
}

func keyOf(record quarantine.Record) string {
	kind, id := keyEngine, record.Engine
	if record.Trial != "" {
		kind, id = keyTrial, record.Trial
	}
	return strings.Join([]string{record.Fingerprint.String(), kind, id}, keySeparator)
}

// encode returns the log record of a crash or trial.
func encode(record quarantine.Record) (eventlog.KeyedRecord, error) {
	raw, err := msgpack.Marshal(&value{AtMs: record.At.UnixMilli(), Live: record.Live})
	if err != nil {
		return eventlog.KeyedRecord{}, errors.Wrap(err, "encode the value of a crash record")
	}
	return eventlog.KeyedRecord{Key: keyOf(record), Value: raw}, nil
}

// deletion returns the log record that deletes a record.
func deletion(record quarantine.Record) eventlog.KeyedRecord {
	return eventlog.KeyedRecord{Key: keyOf(record), Deleted: true}
}

// decode decodes a log record. For a deletion, it sets only the offset and the fields that the key contains.
func decode(from eventlog.KeyedRecord) (quarantine.Record, error) {
	parts := strings.SplitN(from.Key, keySeparator, keyPartCount)
	if len(parts) != keyPartCount || parts[2] == "" {
		return quarantine.Record{}, errors.Errorf("malformed key %q", from.Key)
	}
	record := quarantine.Record{Offset: from.Offset}
	fingerprint, err := hex.DecodeString(parts[0])
	if err != nil || len(fingerprint) != len(record.Fingerprint) {
		return quarantine.Record{}, errors.Errorf("malformed fingerprint %q", parts[0])
	}
	copy(record.Fingerprint[:], fingerprint)
	switch parts[1] {
	case keyEngine:
		record.Engine = parts[2]
	case keyTrial:
		record.Trial = parts[2]
	default:
		return quarantine.Record{}, errors.Errorf("unknown record kind %q", parts[1])
	}
	if from.Deleted {
		return record, nil
	}
	if err := msgpackguard.Check(from.Value); err != nil {
		return quarantine.Record{}, errors.Wrap(err, "validate the value of a crash record")
	}
	var decoded value
	if err := msgpack.Unmarshal(from.Value, &decoded); err != nil {
		return quarantine.Record{}, errors.Wrap(err, "decode the value of a crash record")
	}
	record.At, record.Live = time.UnixMilli(decoded.AtMs), decoded.Live
	return record, nil
}
