package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/router"
)

const (
	contentTypeEvents = "text/event-stream"
	eventError        = "event: error\n"
	eventDone         = "data: [DONE]\n\n"
)

// eventResponder streams an answer as server-sent events, one per piece. The status line is sent with
// the first event, so that an earlier error can still set the HTTP status.
type eventResponder struct {
	writer   *deadlineWriter
	template completionTemplate
	started  bool
	// event is set with the first piece.
	event  eventTemplate
	buffer []byte
}

func (e *eventResponder) piece(piece router.Piece) error {
	var err error
	if e.event.before == "" {
		if e.event, err = newEventTemplate(&e.template); err != nil {
			return err
		}
	}
	if e.buffer, err = e.event.appendEvent(e.buffer[:0], &piece); err != nil {
		return err
	}
	return e.write(e.buffer)
}

func (e *eventResponder) finish(result router.Result) error {
	return e.send("", e.template.finalBody("", result), eventDone)
}

func (e *eventResponder) fail(err error) {
	if !e.started {
		response := jsonResponder{writer: e.writer}
		response.fail(err)
		return
	}
	// The error event marks the answer as incomplete; [DONE] is not sent.
	_ = e.send(eventError, api.ErrorBody{Error: httpapi.ErrorDetail(err)}, "")
}

// send writes an event with a JSON body, followed by suffix.
func (e *eventResponder) send(eventName string, body any, suffix string) error {
	event := bytes.NewBufferString(eventName)
	event.WriteString("data: ")
	// Encode ends the line; the blank line after it ends the event.
	if err := json.NewEncoder(event).Encode(body); err != nil {
		return err
	}
	event.WriteByte('\n')
	event.WriteString(suffix)
	return e.write(event.Bytes())
}

func (e *eventResponder) write(event []byte) error {
	e.writer.extend()
	e.start()
	if _, err := e.writer.Write(event); err != nil {
		return callerWriteError(err)
	}
	return e.writer.flush()
}

func (e *eventResponder) start() {
	if e.started {
		return
	}
	e.started = true
	header := e.writer.Header()
	header.Set("Content-Type", contentTypeEvents)
	header.Set("Cache-Control", "no-store")
	e.writer.WriteHeader(http.StatusOK)
}
