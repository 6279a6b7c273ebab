package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// historyFile appends request events as JSON lines, so that the history of a killed engine is complete.
//
// Invariant: an event is written before its effect is visible outside the engine. Writes are not buffered in the
// process, so SIGKILL loses none; they may be lost if the machine fails.
type historyFile struct {
	file *os.File
	// failed receives the first write error. The engine must then stop, because its history would have a gap.
	failed chan error
}

// historyEvent is one line of the file. Request numbers the requests of a process from 0, in order of start.
type historyEvent struct {
	ID          string `json:"id,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Request     int    `json:"request"`
	// Exactly one of these is set. ProcessStarted marks the first event of a process.
	ProcessStarted bool            `json:"begun,omitempty"`
	Started        *RequestHistory `json:"started,omitempty"`
	Generated      *Span           `json:"made,omitempty"`
	Ended          *requestEnd     `json:"ended,omitempty"`
}

type requestEnd struct {
	UnixNS  int64  `json:"unix_ns"`
	Outcome string `json:"outcome"`
}

func openHistoryFile(path, id, incarnation string) (*historyFile, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open history file")
	}
	opened := &historyFile{file: file, failed: make(chan error, 1)}
	opened.write(&historyEvent{ProcessStarted: true, ID: id, Incarnation: incarnation})
	return opened, nil
}

// write appends an event. On a nil historyFile it does nothing.
func (f *historyFile) write(event *historyEvent) {
	if f == nil {
		return
	}
	line, err := json.Marshal(event)
	if err == nil {
		_, err = f.file.Write(append(line, '\n'))
	}
	if err == nil {
		return
	}
	select {
	case f.failed <- errors.Wrap(err, "write history file"):
	default:
	}
}

// failure returns the channel that receives the first write error.
func (f *historyFile) failure() <-chan error {
	if f == nil {
		return nil
	}
	return f.failed
}

func (f *historyFile) close() {
	if f != nil {
		_ = f.file.Close()
	}
}

// ReadHistoryFile reads the events that engine processes wrote to Config.HistoryFile and returns one History per
// process in order of start, without orders. The file may still be written to. It returns an error if the file
// is unreadable or a line is not a valid event.
func ReadHistoryFile(path string) ([]History, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open history file")
	}
	defer func() { _ = file.Close() }()
	var histories []History
	reader := bufio.NewReader(file)
	for number := 1; ; number++ {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			// An unterminated last line is still being written.
			return histories, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read history file")
		}
		if histories, err = applyHistoryLine(histories, line); err != nil {
			return nil, errors.Wrapf(err, "%s, line %d", path, number)
		}
	}
}

func applyHistoryLine(histories []History, line string) ([]History, error) {
	var event historyEvent
	decoder := json.NewDecoder(strings.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&event); err != nil {
		return nil, errors.Wrap(err, "decode event")
	}
	if event.ProcessStarted {
		return append(histories, History{ID: event.ID, Incarnation: event.Incarnation}), nil
	}
	if len(histories) == 0 {
		return nil, errors.New("event before the process began")
	}
	return histories, histories[len(histories)-1].apply(&event)
}

// apply adds an event to the history.
func (h *History) apply(event *historyEvent) error {
	if event.Started != nil {
		if event.Request != len(h.Requests) {
			return errors.Errorf("request %d started after %d others", event.Request, len(h.Requests))
		}
		h.Requests = append(h.Requests, *event.Started)
		return nil
	}
	if event.Request < 0 || event.Request >= len(h.Requests) {
		return errors.Errorf("event of request %d, which did not start", event.Request)
	}
	request := &h.Requests[event.Request]
	switch {
	case event.Generated != nil:
		request.Spans = appendSpan(request.Spans, *event.Generated)
	case event.Ended != nil:
		request.EndedUnixNS = event.Ended.UnixNS
		request.Outcome = event.Ended.Outcome
	default:
		return errors.New("event has no content")
	}
	return nil
}

// appendSpan adds a token range, merging it with the last one if it continues it.
func appendSpan(spans []Span, added Span) []Span {
	last := len(spans) - 1
	if last >= 0 && spans[last].Version == added.Version && spans[last].To == added.From {
		spans[last].To = added.To
		return spans
	}
	return append(spans, added)
}
