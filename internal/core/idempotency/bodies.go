// Package idempotency determines, from the record order of a stream idempotency/<shard>, which
// intent for an idempotency key is the first: only its writer may run the request. The package
// performs no I/O and takes all time from records.
package idempotency

import (
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Record kinds of an idempotency stream.
const (
	KindIntent  logrecord.Kind = "intent"
	KindResult  logrecord.Kind = "result"
	KindRelease logrecord.Kind = "intent-release"
)

// Bounds of record bodies; a record that exceeds them is Invalid.
const (
	// MaxKeyBytes bounds a key, including the scope that the caller prepends.
	MaxKeyBytes = 512
	// MaxFingerprintBytes bounds a fingerprint.
	MaxFingerprintBytes = 64
	// MaxOutcomeBytes bounds a recorded outcome.
	MaxOutcomeBytes = 2 << 20
)

// Intent is the body of a KindIntent record: its writer intends to run the request.
type Intent struct {
	Key string `msgpack:"k"`
	// Fingerprint distinguishes different requests that were sent with the same key.
	Fingerprint string `msgpack:"f"`
	// UnixMS is the writer's time in milliseconds, used only for retention.
	UnixMS int64 `msgpack:"t"`
}

// Result is the body of a KindResult record: the outcome of the intent's request.
type Result struct {
	Key string `msgpack:"k"`
	// IntentOffset is the offset of the intent whose request was run.
	IntentOffset int64 `msgpack:"i"`
	// Outcome is opaque to this package; readers fetch it by the record's offset.
	Outcome []byte `msgpack:"o"`
	UnixMS  int64  `msgpack:"t"`
}

// Release is the body of a KindRelease record: the intent's request certainly was not run, so that
// another intent for the key can be accepted.
type Release struct {
	Key          string `msgpack:"k"`
	IntentOffset int64  `msgpack:"i"`
	UnixMS       int64  `msgpack:"t"`
}

// Validate returns an error if the intent is outside the bounds.
func (i Intent) Validate() error {
	if err := validateKey(i.Key); err != nil {
		return err
	}
	if i.Fingerprint == "" || len(i.Fingerprint) > MaxFingerprintBytes {
		return errors.Errorf("fingerprint of %d bytes, wanted 1 to %d", len(i.Fingerprint), MaxFingerprintBytes)
	}
	return nil
}

// Validate returns an error if the result is outside the bounds.
func (r Result) Validate() error {
	if len(r.Outcome) > MaxOutcomeBytes {
		return errors.Errorf("outcome of %d bytes, at most %d allowed", len(r.Outcome), MaxOutcomeBytes)
	}
	return validateKey(r.Key)
}

// Validate returns an error if the release is outside the bounds.
func (r Release) Validate() error { return validateKey(r.Key) }

func validateKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return errors.Errorf("key of %d bytes, wanted 1 to %d", len(key), MaxKeyBytes)
	}
	return nil
}
