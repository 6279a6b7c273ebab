// Package idempotency decides, from the order of a stream idempotency/<shard>,
// which intent for an idempotency key is the first and so the only one that may
// run a request. It has no input, output or clock: all time comes from records.
package idempotency

import (
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Kinds of records in an idempotency stream.
const (
	KindIntent  logrecord.Kind = "intent"
	KindResult  logrecord.Kind = "result"
	KindRelease logrecord.Kind = "intent-release"
)

// Bounds of bodies; a record outside them is Invalid.
const (
	// MaxKeyBytes bounds a key, with the scope that the caller put before it.
	MaxKeyBytes = 512
	// MaxFingerprintBytes bounds a fingerprint.
	MaxFingerprintBytes = 64
	// MaxOutcomeBytes bounds a recorded outcome.
	MaxOutcomeBytes = 2 << 20
)

// Intent is the body of KindIntent: its writer wants to run the request.
type Intent struct {
	Key string `msgpack:"k"`
	// Fingerprint tells requests apart that were sent with the same key.
	Fingerprint string `msgpack:"f"`
	// UnixMS is the writer's time, in milliseconds; it serves retention only.
	UnixMS int64 `msgpack:"t"`
}

// Result is the body of KindResult: the outcome of the intent's request.
type Result struct {
	Key string `msgpack:"k"`
	// IntentOffset is the offset of the intent that ran.
	IntentOffset int64 `msgpack:"i"`
	// Outcome is opaque here; readers fetch it by the record's offset.
	Outcome []byte `msgpack:"o"`
	UnixMS  int64  `msgpack:"t"`
}

// Release is the body of KindRelease: the intent's request certainly did not
// run, so that another intent for the key may come first.
type Release struct {
	Key          string `msgpack:"k"`
	IntentOffset int64  `msgpack:"i"`
	UnixMS       int64  `msgpack:"t"`
}

// Validate returns why the intent may not be proposed, or nil.
func (i Intent) Validate() error {
	if err := validateKey(i.Key); err != nil {
		return err
	}
	if i.Fingerprint == "" || len(i.Fingerprint) > MaxFingerprintBytes {
		return errors.Errorf("fingerprint of %d bytes, wanted 1 to %d", len(i.Fingerprint), MaxFingerprintBytes)
	}
	return nil
}

// Validate returns why the result may not be proposed, or nil.
func (r Result) Validate() error {
	if len(r.Outcome) > MaxOutcomeBytes {
		return errors.Errorf("outcome of %d bytes, at most %d allowed", len(r.Outcome), MaxOutcomeBytes)
	}
	return validateKey(r.Key)
}

// Validate returns why the release may not be proposed, or nil.
func (r Release) Validate() error { return validateKey(r.Key) }

func validateKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return errors.Errorf("key of %d bytes, wanted 1 to %d", len(key), MaxKeyBytes)
	}
	return nil
}
