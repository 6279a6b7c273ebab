package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// frameKind is the type of a frame.
type frameKind uint8

// Frame kinds. The values are part of the wire protocol: append new ones, never renumber.
const (
	frameHello   frameKind = iota + 1 // first frame sent by the dialer: hello
	frameCall                         // method and request; response is one message or an error
	frameOpen                         // method and request; response is messages, then end or error
	frameMessage                      // message of a response
	frameEnd                          // successful end of a response stream
	frameError                        // errkind.Error; ends a response
	frameCancel                       // caller no longer reads the response
	frameCredit                       // number of response bytes consumed by the caller
	framePing                         // requests a pong
	framePong                         // response to a ping
	frameKindEnd
)

const (
	// frameHeaderSize: body length (uint32), kind (uint8), stream ID (uint32), big endian.
	frameHeaderSize = 9
	// maxFrameBody limits the body of a frame in bytes.
	maxFrameBody = 16 << 20
	// maxHelloBody limits the body of a hello, which is read before the dialer is known.
	maxHelloBody = 4 << 10
	// maxPooledBody limits the size in bytes of buffers that are returned to a pool.
	maxPooledBody = 64 << 10
	// maxMethodLength limits a method name in bytes: its length is encoded in one byte.
	maxMethodLength = 255
	// creditBodySize is the size of a credit frame's body in bytes (uint32).
	creditBodySize = 4
)

// Errors of the frame decoder.
var (
	errFrameTooLarge = errors.New("frame body exceeds the size limit")
	errFrameKind     = errors.New("unknown frame kind")
	errFrameBody     = errors.New("frame body is malformed")
)

// hello is the body of the first frame on a connection.
type hello struct {
	NodeID  string `msgpack:"n"`
	Version int    `msgpack:"v"`
}

// protocolVersion is sent in the hello; peers with another version are rejected.
const protocolVersion = 1

// body is a frame body in a pooled buffer.
type body struct{ data []byte }

var bodyPool = sync.Pool{New: func() any { return &body{} }}

// newBody returns a body of the given size with undefined content.
func newBody(size int) *body {
	b := bodyPool.Get().(*body)
	if cap(b.data) < size {
		b.data = make([]byte, size)
	}
	b.data = b.data[:size]
	return b
}

// release returns the buffer to the pool; the body must not be used afterwards.
func (b *body) release() {
	if cap(b.data) <= maxPooledBody {
		bodyPool.Put(b)
	}
}

type frame struct {
	kind     frameKind
	streamID uint32
	body     *body
}

// size returns the encoded size of the frame in bytes.
func (f frame) size() int { return frameHeaderSize + len(f.body.data) }

// putHeader writes the frame header for a body of the given length.
func putHeader(header []byte, kind frameKind, streamID uint32, length int) {
	binary.BigEndian.PutUint32(header[0:4], uint32(length))
	header[4] = byte(kind)
	binary.BigEndian.PutUint32(header[5:9], streamID)
}

// readFrame reads a frame of at most maxFrameBody.
func readFrame(reader *bufio.Reader) (frame, error) { return readFrameWithin(reader, maxFrameBody) }

// readFrameWithin reads a frame whose body has at most maxBody bytes.
func readFrameWithin(reader *bufio.Reader, maxBody uint32) (frame, error) {
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
	if length > maxBody {
		return frame{}, errFrameTooLarge
	}
	if kind == 0 || kind >= frameKindEnd {
		return frame{}, errFrameKind
	}
	if _, err := reader.Discard(frameHeaderSize); err != nil {
		return frame{}, err
	}
	content, err := readBody(reader, int(length))
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, err
	}
	return frame{kind: kind, streamID: streamID, body: content}, nil
}

// readBody reads a body of the given size. Its buffer grows with the bytes that have arrived, up to twice their number.
func readBody(reader io.Reader, size int) (*body, error) {
	content := newBody(min(size, maxPooledBody))
	for received := 0; ; {
		count, err := io.ReadFull(reader, content.data[received:])
		if err != nil {
			content.release()
			return nil, err
		}
		if received += count; received == size {
			return content, nil
		}
		grown := make([]byte, min(size, 2*received))
		copy(grown, content.data)
		content.release()
		content = &body{data: grown}
	}
}

// splitRequest splits the body of a call or open frame into the method and the encoded request.
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
