package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// frameKind tells what a frame carries.
type frameKind uint8

// The frame kinds. Values are sent between processes: append, never renumber.
const (
	frameHello   frameKind = iota + 1 // first frame of a dialer: hello
	frameCall                         // method and request; answered by one message or an error
	frameOpen                         // method and request; answered by messages, then end or error
	frameMessage                      // one message of an answer
	frameEnd                          // clean end of an answer stream
	frameError                        // errkind.Error, ends an answer
	frameCancel                       // the caller no longer reads the answer
	frameCredit                       // the caller consumed that many bytes of the answer
	framePing                         // asks for a pong
	framePong                         // answers a ping
	frameKindEnd
)

const (
	// frameHeaderSize: body length (uint32), kind (uint8), stream ID (uint32), big endian.
	frameHeaderSize = 9
	// maxFrameBody bounds the body of one frame in bytes.
	maxFrameBody = 16 << 20
	// maxPooledBody bounds the buffers that are kept for reuse, in bytes.
	maxPooledBody = 64 << 10
	// maxMethodLength bounds a method name: its length travels in one byte.
	maxMethodLength = 255
	// creditBodySize is the size of a credit frame's body in bytes (uint32).
	creditBodySize = 4
)

// Errors of the frame decoder.
var (
	errFrameTooLarge = errors.New("frame body is larger than the limit")
	errFrameKind     = errors.New("frame kind is unknown")
	errFrameBody     = errors.New("frame body is malformed")
)

// hello is the body of the first frame on a connection.
type hello struct {
	NodeID  string `msgpack:"n"`
	Version int    `msgpack:"v"`
}

// protocolVersion is refused when it differs.
const protocolVersion = 1

// body is a frame's body in a reusable buffer.
type body struct{ data []byte }

var bodyPool = sync.Pool{New: func() any { return &body{} }}

// newBody returns a body of the size with undefined content.
func newBody(size int) *body {
	b := bodyPool.Get().(*body)
	if cap(b.data) < size {
		b.data = make([]byte, size)
	}
	b.data = b.data[:size]
	return b
}

// release gives the buffer back; the body must not be used after it.
func (b *body) release() {
	if cap(b.data) <= maxPooledBody {
		bodyPool.Put(b)
	}
}

// frame is one decoded frame.
type frame struct {
	kind     frameKind
	streamID uint32
	body     *body
}

// size returns the bytes that the frame takes on the wire.
func (f frame) size() int { return frameHeaderSize + len(f.body.data) }

// putHeader fills the header for a body of the length.
func putHeader(header []byte, kind frameKind, streamID uint32, length int) {
	binary.BigEndian.PutUint32(header[0:4], uint32(length))
	header[4] = byte(kind)
	binary.BigEndian.PutUint32(header[5:9], streamID)
}

// readFrame reads one frame. It allocates no more than the stated length,
// which it checks first.
func readFrame(reader *bufio.Reader) (frame, error) {
	header, err := reader.Peek(frameHeaderSize)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[0:4])
	kind := frameKind(header[4])
	streamID := binary.BigEndian.Uint32(header[5:9])
	if length > maxFrameBody {
		return frame{}, errFrameTooLarge
	}
	if kind == 0 || kind >= frameKindEnd {
		return frame{}, errFrameKind
	}
	if _, err := reader.Discard(frameHeaderSize); err != nil {
		return frame{}, err
	}
	content := newBody(int(length))
	if _, err := io.ReadFull(reader, content.data); err != nil {
		content.release()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, err
	}
	return frame{kind: kind, streamID: streamID, body: content}, nil
}

// splitRequest separates the method from the encoded request of a call or open frame.
func splitRequest(data []byte) (Method, []byte, error) {
	if len(data) == 0 {
		return "", nil, errFrameBody
	}
	length := int(data[0])
	if len(data) < 1+length {
		return "", nil, errFrameBody
	}
	return Method(data[1 : 1+length]), data[1+length:], nil
}

// parseCredit reads the body of a credit frame.
func parseCredit(data []byte) (int, error) {
	if len(data) != creditBodySize {
		return 0, errFrameBody
	}
	return int(binary.BigEndian.Uint32(data)), nil
}
