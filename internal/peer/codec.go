package peer

import (
	"bytes"
	"encoding/binary"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// encodedFrame builds an outgoing frame in a pooled buffer.
type encodedFrame struct {
	buffer   bytes.Buffer
	encoder  *msgpack.Encoder
	kind     frameKind
	streamID uint32
}

var encodedFramePool = sync.Pool{New: func() any {
	f := &encodedFrame{}
	f.encoder = msgpack.NewEncoder(&f.buffer)
	f.encoder.UseCompactInts(true)
	return f
}}

var emptyHeader [frameHeaderSize]byte

// newFrame returns a frame without a body. It must be released after use.
func newFrame(kind frameKind, streamID uint32) *encodedFrame {
	f := encodedFramePool.Get().(*encodedFrame)
	f.kind = kind
	f.streamID = streamID
	f.buffer.Reset()
	f.buffer.Write(emptyHeader[:])
	return f
}

// encode appends a message to the body.
func (f *encodedFrame) encode(message any) error {
	if err := f.encoder.Encode(message); err != nil {
		return err
	}
	if f.buffer.Len()-frameHeaderSize > maxFrameBody {
		return errFrameTooLarge
	}
	return nil
}

// setMethod appends the method name of a call or open frame.
func (f *encodedFrame) setMethod(method Method) error {
	if len(method) > maxMethodLength {
		return errFrameBody
	}
	f.buffer.WriteByte(byte(len(method)))
	f.buffer.WriteString(string(method))
	return nil
}

// setCredit appends the body of a credit frame.
func (f *encodedFrame) setCredit(consumed int) {
	var content [creditBodySize]byte
	binary.BigEndian.PutUint32(content[:], uint32(consumed))
	f.buffer.Write(content[:])
}

// bytes returns the complete frame, valid until release.
func (f *encodedFrame) bytes() []byte {
	data := f.buffer.Bytes()
	putHeader(data, f.kind, f.streamID, len(data)-frameHeaderSize)
	return data
}

// copyBody returns a copy of the body in a buffer of its own.
func (f *encodedFrame) copyBody() *body {
	content := f.buffer.Bytes()[frameHeaderSize:]
	copied := newBody(len(content))
	copy(copied.data, content)
	return copied
}

// release returns the buffer to the pool; the frame must not be used afterwards.
func (f *encodedFrame) release() {
	if f.buffer.Cap() <= maxPooledBody {
		encodedFramePool.Put(f)
	}
}

// decoder decodes one message from a slice.
type decoder struct {
	reader  bytes.Reader
	decoder *msgpack.Decoder
}

var decoderPool = sync.Pool{New: func() any {
	d := &decoder{}
	d.decoder = msgpack.NewDecoder(&d.reader)
	return d
}}

// decode decodes data into the pointer message. The encoded lengths are checked first, since the decoder
// allocates slices of these lengths. The message holds no reference to data, because msgpack copies strings
// and byte slices.
func decode(data []byte, message any) error {
	if err := msgpackguard.Check(data); err != nil {
		return err
	}
	d := decoderPool.Get().(*decoder)
	d.reader.Reset(data)
	d.decoder.ResetReader(&d.reader)
	err := d.decoder.Decode(message)
	d.reader.Reset(nil)
	decoderPool.Put(d)
	return err
}
