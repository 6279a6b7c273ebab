package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"github.com/corkpulley/corkpulley/internal/engine"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrLineTooLong is returned for a stream line of more than 4 MiB.
var ErrLineTooLong = errors.New("engine stream: line too long")

// lineBufferBytes is the read buffer size; longer lines are assembled from several reads.
const lineBufferBytes = 4 << 10

var lineBuffers = sync.Pool{
	New: func() any { return bufio.NewReaderSize(nil, lineBufferBytes) },
}

// lineReader reads newline-delimited JSON values. It is not safe for concurrent use.
type lineReader struct {
	buffer *bufio.Reader
	// long holds a line that exceeds the buffer.
	long []byte
}

func newLineReader(source io.Reader) *lineReader {
	buffer := lineBuffers.Get().(*bufio.Reader)
	buffer.Reset(source)
	return &lineReader{buffer: buffer}
}

// release returns the buffer to the pool; the reader must not be used afterwards.
func (l *lineReader) release() {
	if l.buffer == nil {
		return
	}
	l.buffer.Reset(nil)
	lineBuffers.Put(l.buffer)
	l.buffer = nil
}

// decode decodes the next line into target. It returns io.EOF only between lines.
func (l *lineReader) decode(target any) error {
	line, err := l.next()
	if err != nil {
		return err
	}
	return json.Unmarshal(line, target)
}

// next returns the next line, which is valid until the following call.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.buffer.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, lineReadError(len(line), err)
	}
	l.long = append(l.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = l.buffer.ReadSlice('\n')
		l.long = append(l.long, line...)
		if len(l.long) > maxLineBytes {
			return nil, ErrLineTooLong
		}
	}
	if err != nil {
		return nil, lineReadError(len(l.long), err)
	}
	return l.long, nil
}

// lineReadError returns the error of a read that ended after partial bytes of a line: io.ErrUnexpectedEOF instead of
// io.EOF within a line.
func lineReadError(partial int, err error) error {
	if errors.Is(err, io.EOF) && partial > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// drainTimeout bounds the wait for the end of the body after the finished chunk.
const drainTimeout = time.Second

// httpStream implements engine.Stream. Receive must be called by one goroutine; Close may be called by another
// and unblocks Receive.
type httpStream struct {
	body      io.ReadCloser
	cancel    context.CancelFunc
	requestID string
	attempt   uint32
	// lines is owned by Receive until finished is set, then by the first Close.
	lines    *lineReader
	finished atomic.Bool
	closing  sync.Once
}

func newHTTPStream(body io.ReadCloser, cancel context.CancelFunc, requestID string, attempt uint32) *httpStream {
	return &httpStream{
		body:      body,
		cancel:    cancel,
		requestID: requestID,
		attempt:   attempt,
		lines:     newLineReader(body),
	}
}

// Receive implements engine.Stream.
func (s *httpStream) Receive() (engine.Chunk, error) {
	if s.finished.Load() {
		return engine.Chunk{}, io.EOF
	}
	chunk, err := s.next()
	if err != nil {
		return engine.Chunk{}, streamError(err)
	}
	if err := s.check(&chunk); err != nil {
		return engine.Chunk{}, err
	}
	if chunk.Finished {
		s.finished.Store(true)
	}
	return chunk, nil
}

// next reads one chunk with the scanner, or with encoding/json if the scanner rejects the line.
func (s *httpStream) next() (engine.Chunk, error) {
	line, err := s.lines.next()
	if err != nil {
		return engine.Chunk{}, err
	}
	scanner := chunkScanner{line: line, requestID: s.requestID}
	if chunk, ok := scanner.scan(); ok {
		return chunk, nil
	}
	var chunk engine.Chunk
	err = json.Unmarshal(line, &chunk)
	return chunk, err
}

// check rejects a chunk that does not belong to the stream, or whose tokens have no weight version.
func (s *httpStream) check(chunk *engine.Chunk) error {
	if chunk.RequestID != s.requestID || chunk.Attempt != s.attempt {
		return errors.Errorf("engine stream: chunk of request %q attempt %d on the stream of %q attempt %d",
			chunk.RequestID, chunk.Attempt, s.requestID, s.attempt)
	}
	if chunk.FirstToken < 0 {
		return errors.Errorf("engine stream: negative first token %d", chunk.FirstToken)
	}
	if len(chunk.Tokens) > 0 && chunk.Version == 0 {
		return errors.New("engine stream: chunk has tokens but no weight version")
	}
	return nil
}

// Close implements engine.Stream. It reads a finished stream to its end, so that the connection can be reused;
// the connection of an unfinished stream is closed.
func (s *httpStream) Close() error {
	var err error
	s.closing.Do(func() { err = s.closeOnce() })
	return err
}

func (s *httpStream) closeOnce() error {
	if s.finished.Load() {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = s.lines.next()
		timer.Stop()
		s.lines.release()
	}
	s.cancel()
	return s.body.Close()
}

func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "engine stream")
}
