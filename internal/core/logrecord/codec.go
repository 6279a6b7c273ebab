package logrecord

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// Bounds of one record; readers skip a record outside them.
const (
	// MaxRecordBytes bounds an encoded record.
	MaxRecordBytes = 4 << 20
	// MaxNameBytes bounds Writer and Kind.
	MaxNameBytes = 128
)

// ErrMalformed is wrapped by every error of Decode and DecodeBody. All readers
// skip the same malformed records, because decoding depends on the bytes only.
var ErrMalformed = errors.New("log record: malformed")

// Encode returns the bytes of a valid record; an error wraps ErrMalformed.
func Encode(record Record) ([]byte, error) {
	if err := validate(record); err != nil {
		return nil, err
	}
	data, err := msgpack.Marshal(record)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode: %v", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes, at most %d allowed", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode parses the bytes of one record; an error wraps ErrMalformed.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, errors.Wrapf(ErrMalformed, "%d bytes, at most %d allowed", len(data), MaxRecordBytes)
	}
	var record Record
	if err := unmarshalWhole(data, &record); err != nil {
		return Record{}, err
	}
	if err := validate(record); err != nil {
		return Record{}, err
	}
	return record, nil
}

// EncodeBody returns the msgpack encoding of a record's body.
func EncodeBody(body any) (msgpack.RawMessage, error) {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode body: %v", err)
	}
	return data, nil
}

// DecodeBody parses the record's body into a pointer; an error wraps
// ErrMalformed.
func DecodeBody(record Record, body any) error {
	return unmarshalWhole(record.Body, body)
}

// unmarshalWhole decodes one value and refuses bytes after it, so that two
// different records never decode to the same value by accident. Lengths that
// the bytes claim are checked first, so that no record takes more memory than
// its own size accounts for.
func unmarshalWhole(data []byte, value any) error {
	if err := msgpackguard.Check(data); err != nil {
		return errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	reader := bytes.NewReader(data)
	if err := msgpack.NewDecoder(reader).Decode(value); err != nil {
		return errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	if reader.Len() != 0 {
		return errors.Wrapf(ErrMalformed, "%d bytes after the value", reader.Len())
	}
	return nil
}

func validate(record Record) error {
	switch {
	case record.Writer == "" || len(record.Writer) > MaxNameBytes:
		return errors.Wrapf(ErrMalformed, "writer of %d bytes, wanted 1 to %d", len(record.Writer), MaxNameBytes)
	case record.Kind == "" || len(record.Kind) > MaxNameBytes:
		return errors.Wrapf(ErrMalformed, "kind of %d bytes, wanted 1 to %d", len(record.Kind), MaxNameBytes)
	case record.Sequence == 0 && record.Kind != KindSnapshot:
		return errors.Wrap(ErrMalformed, "sequence 0")
	case record.Base < 0:
		return errors.Wrapf(ErrMalformed, "base %d is negative", record.Base)
	case record.Epoch < 0:
		return errors.Wrapf(ErrMalformed, "epoch %d is negative", record.Epoch)
	}
	return nil
}
