package clusterversion

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// A record's key in the log is raised/VERSION. Each version has its own key, so that the record of a lower version
// never replaces that of a higher one.
const (
	keyRaised    = "raised"
	keySeparator = "/"
)

// Raised is the log record that raises the cluster version.
type Raised struct {
	Version Version `msgpack:"v"`
	// Holder is the process that raised the version.
	Holder string `msgpack:"h"`
}

// Key returns the record's key in the log.
func (r Raised) Key() string {
	return keyRaised + keySeparator + strconv.FormatUint(uint64(r.Version), 10)
}

// Encode returns the record's value in the log.
func (r Raised) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode cluster version record")
	}
	return raw, nil
}

// KindOf returns the kind of the record with a key.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(key, keySeparator)
	return kind
}

// IsRaised reports whether records of the kind have type Raised. Readers skip all other kinds.
func IsRaised(kind string) bool { return kind == keyRaised }

// DecodeRaised decodes the value of a record.
func DecodeRaised(value []byte) (Raised, error) {
	var record Raised
	if err := msgpackguard.Check(value); err != nil {
		return Raised{}, errors.Wrap(err, "check cluster version record")
	}
	if err := msgpack.Unmarshal(value, &record); err != nil {
		return Raised{}, errors.Wrap(err, "decode cluster version record")
	}
	return record, nil
}
