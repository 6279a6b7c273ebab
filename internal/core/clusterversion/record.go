package clusterversion

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// A record's key in the log is raised/VERSION, so that a writer that knows less never replaces a higher version by
// a lower one.
const (
	keyRaised    = "raised"
	keySeparator = "/"
)

// Raised is a record of the log: the cluster is at the version from then on.
type Raised struct {
	Version Version `msgpack:"v"`
	// Holder is the process that raised it.
	Holder string `msgpack:"h"`
}

// Key returns the record's key.
func (r Raised) Key() string {
	return keyRaised + keySeparator + strconv.FormatUint(uint64(r.Version), 10)
}

// Encode returns the record's value.
func (r Raised) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode the raised version")
	}
	return raw, nil
}

// KindOf returns the kind of the record with the key.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(key, keySeparator)
	return kind
}

// IsRaised reports whether records of a kind are of type Raised; readers skip all others.
func IsRaised(kind string) bool { return kind == keyRaised }

// DecodeRaised reads a record's value.
func DecodeRaised(value []byte) (Raised, error) {
	var record Raised
	if err := msgpackguard.Check(value); err != nil {
		return Raised{}, errors.Wrap(err, "check the raised version")
	}
	if err := msgpack.Unmarshal(value, &record); err != nil {
		return Raised{}, errors.Wrap(err, "decode the raised version")
	}
	return record, nil
}
