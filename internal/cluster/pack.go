package cluster

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// flateWriters caches compressors, each of which allocates about 0.5 MB.
var flateWriters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant and valid
	}
	return writer
}}

const (
	// compressMinSize is the size in bytes from which a payload is compressed.
	compressMinSize = 256
	// maxPayloadSize limits a decompressed payload in bytes.
	maxPayloadSize = 8 << 20
	// The first byte of a packed payload is its encoding.
	packedPlain byte = 0
	packedFlate byte = 1
)

var errMalformedPayload = errors.New("gossip payload has an unknown encoding or exceeds the size limit")

// pack encodes a payload, compressed if large; an empty one is encoded as nil.
func pack(content payload) ([]byte, error) {
	if content.empty() {
		return nil, nil
	}
	plain, err := encode(&content)
	if err != nil {
		return nil, err
	}
	if len(plain) < compressMinSize {
		return append([]byte{packedPlain}, plain...), nil
	}
	var deflated bytes.Buffer
	deflated.WriteByte(packedFlate)
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	writer.Reset(&deflated)
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return deflated.Bytes(), nil
}

// unpack decodes a payload and rejects one above maxPayloadSize.
func unpack(packed []byte) (payload, error) {
	var content payload
	if len(packed) == 0 {
		return content, nil
	}
	plain := packed[1:]
	switch packed[0] {
	case packedPlain:
	case packedFlate:
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), maxPayloadSize+1))
		if err != nil {
			return content, errors.Wrap(err, "inflate gossip payload")
		}
		plain = inflated
	default:
		return content, errMalformedPayload
	}
	if len(plain) > maxPayloadSize {
		return content, errMalformedPayload
	}
	return content, decode(plain, &content)
}
