package cluster

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// deflaters keeps writers for reuse: a new one takes half a megabyte.
var deflaters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant and valid
	}
	return writer
}}

const (
	// compressAbove is the size in bytes from which a payload is deflated.
	compressAbove = 256
	// maxPayload bounds an unpacked payload in bytes.
	maxPayload       = 8 << 20
	packedPlain byte = 0
	packedFlate byte = 1
)

var errPayload = errors.New("gossip payload is malformed")

// pack encodes a payload; an empty one takes no bytes.
func pack(content payload) ([]byte, error) {
	if content.empty() {
		return nil, nil
	}
	plain, err := encode(&content)
	if err != nil {
		return nil, err
	}
	if len(plain) < compressAbove {
		return append([]byte{packedPlain}, plain...), nil
	}
	var deflated bytes.Buffer
	deflated.WriteByte(packedFlate)
	writer := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(&deflated)
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return deflated.Bytes(), nil
}

// unpack decodes a payload, refusing one that is too large.
func unpack(packed []byte) (payload, error) {
	var content payload
	if len(packed) == 0 {
		return content, nil
	}
	plain := packed[1:]
	switch packed[0] {
	case packedPlain:
	case packedFlate:
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), maxPayload+1))
		if err != nil {
			return content, errors.Wrap(err, "inflate gossip payload")
		}
		plain = inflated
	default:
		return content, errPayload
	}
	if len(plain) > maxPayload {
		return content, errPayload
	}
	return content, decode(plain, &content)
}
