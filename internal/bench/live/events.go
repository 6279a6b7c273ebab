package live

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// eventBody is the data of an event: a partial completion, or an error if Error is set.
type eventBody struct {
	api.Completion
	Error *api.ErrorDetail `json:"error"`
}

// readEvents reads a text/event-stream until [DONE] or an error event.
func readEvents(body io.Reader, started time.Time, outcome *Outcome) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if err := handleEvent(bytes.TrimSpace(data), started, outcome); err != nil {
			return err
		}
		if outcome.Done {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read events")
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "event stream ended without [DONE]")
}

func handleEvent(data []byte, started time.Time, outcome *Outcome) error {
	if bytes.Equal(data, doneData) {
		outcome.Done = true
		return nil
	}
	var event eventBody
	if err := json.Unmarshal(data, &event); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if event.Error != nil {
		setError(*event.Error, outcome)
		return nil
	}
	addCompletion(&event.Completion, outcome)
	if outcome.TimeToFirstToken == 0 && outcome.Text != "" {
		outcome.TimeToFirstToken = time.Since(started)
	}
	return nil
}
