package logrecord

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// Size limits of a record. Readers skip records that exceed them.
const (
	// MaxRecordBytes bounds an encoded record.
	MaxRecordBytes = 4 << 20
	// MaxNameBytes bounds the lengths of Writer and Kind.
	MaxNameBytes = 128
)

// ErrMalformed is wrapped by all errors of this package's encoding and decoding functions. All readers skip the same
// malformed records, since decoding depends only on the bytes.
var ErrMalformed = errors.New("log record: malformed")

// Encode validates and encodes a record. Errors wrap ErrMalformed.
func Encode(record Record) ([]byte, error) {
	if err := validate(record); err != nil {
		return nil, err
	}
	data, err := msgpack.Marshal(record)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode: %v", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrMalformed, "record of %d bytes exceeds the limit of %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode decodes and validates a record. Errors wrap ErrMalformed.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, errors.Wrapf(ErrMalformed, "record of %d bytes exceeds the limit of %d", len(data), MaxRecordBytes)
	}
	var record Record
	if err := unmarshalExact(data, &record); err != nil {
		return Record{}, err
	}
	if err := validate(record); err != nil {
		return Record{}, err
	}
	return record, nil
}

// EncodeBody returns the msgpack encoding of a record's body. Errors wrap ErrMalformed.
func EncodeBody(body any) (msgpack.RawMessage, error) {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode body: %v", err)
	}
	return data, nil
}

// DecodeBody decodes the record's body into the value that body points to. Errors wrap ErrMalformed.
func DecodeBody(record Record, body any) error {
	return unmarshalExact(record.Body, body)
}

// unmarshalExact decodes one value and rejects trailing bytes. Encoded lengths are checked before decoding, so that a
// small record cannot cause a large allocation.
func unmarshalExact(data []byte, value any) error {
	if err := msgpackguard.Check(data); err != nil {
		return errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	reader := bytes.NewReader(data)
	if err := msgpack.NewDecoder(reader).Decode(value); err != nil {
		return errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	if reader.Len() != 0 {
		return errors.Wrapf(ErrMalformed, "%d trailing bytes", reader.Len())
	}
	return nil
}

func validate(record Record) error {
	switch {
	case record.Writer == "" || len(record.Writer) > MaxNameBytes:
		return errors.Wrapf(ErrMalformed, "length of writer is %d bytes, must be 1 to %d", len(record.Writer), MaxNameBytes)
	case record.Kind == "" || len(record.Kind) > MaxNameBytes:
		return errors.Wrapf(ErrMalformed, "length of kind is %d bytes, must be 1 to %d", len(record.Kind), MaxNameBytes)
	case record.Sequence == 0 && record.Kind != KindSnapshot:
		return errors.Wrap(ErrMalformed, "sequence must not be zero")
	case record.Base < 0:
		return errors.Wrapf(ErrMalformed, "base %d is negative", record.Base)
	case record.Epoch < 0:
		return errors.Wrapf(ErrMalformed, "epoch %d is negative", record.Epoch)
	}
	return nil
}
