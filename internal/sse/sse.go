// Package sse reads streams of server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html).
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	readBufferBytes = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
)

// Field is a line of an event other than its ID and data.
type Field struct {
	Name  string
	Value string
}

// Event is one server-sent event.
type Event struct {
	// Raw holds the event as received, including the terminating empty line.
	Raw []byte
	// ID is the event's numeric ID; HasID is false if it has none.
	ID    int64
	HasID bool
	// Data holds the data lines, separated by line feeds.
	Data []byte
	// Fields holds all other lines.
	Fields []Field
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
}

// NewReader returns a Reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferBytes)}
}

// Next returns the next event. It returns io.EOF if the source ends between events, and io.ErrUnexpectedEOF if
// it ends within one.
func (r *Reader) Next() (Event, error) {
	var event Event
	hasData := false
	for {
		line, err := r.readLine(len(event.Raw))
		if err != nil {
			if errors.Is(err, io.EOF) && (len(event.Raw) > 0 || len(line) > 0) {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		event.Raw = append(event.Raw, line...)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData || event.HasID {
				return event, nil
			}
			continue // lines without data or an ID become part of the next event
		}
		if err := event.parseLine(line, &hasData); err != nil {
			return Event{}, err
		}
	}
}

// readLine reads the next line of an event of which eventBytes have been read.
func (r *Reader) readLine(eventBytes int) ([]byte, error) {
	var line []byte
	for {
		piece, err := r.source.ReadSlice('\n')
		line = append(line, piece...)
		if eventBytes+len(line) > maxEventBytes {
			return nil, errors.Errorf("event has more than %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

func (e *Event) parseLine(line []byte, hasData *bool) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "":
		return nil
	case "data":
		if *hasData {
			e.Data = append(e.Data, '\n')
		}
		*hasData = true
		e.Data = append(e.Data, value...)
	case "id":
		number, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return errors.Wrapf(err, "parse event ID %q", value)
		}
		e.ID, e.HasID = number, true
	default:
		e.Fields = append(e.Fields, Field{Name: string(name), Value: string(value)})
	}
	return nil
}
