package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

func (e *Engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	e.recordArrival(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if id == "" {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run, number, fault, begun := e.beginRun(r, string(body))
	w.Header().Set(headerLoad, e.load())
	if !begun {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	whole := false
	defer func() { e.endRun(number, whole) }()
	w.Header().Set(headerStamp, Stamp(id))
	switch fault {
	case RespondsError:
		w.WriteHeader(http.StatusInternalServerError)
	case RespondsUnprocessable:
		w.WriteHeader(http.StatusUnprocessableEntity)
	case NeverResponds:
		<-r.Context().Done()
	case DropsResponse:
		abortConnection()
	case RespondsWrongID:
		w.Header().Set(headerRequestID, "another")
		_, _ = io.WriteString(w, PlainBody(id))
	default:
		if len(e.options.Versions) > 0 {
			whole = e.writeStream(w, r, run, fault)
			return
		}
		if e.crashesOn(run) {
			e.options.Crash(run)
			abortConnection()
		}
		if e.wait(r, e.options.PlainTime) {
			e.writePlain(w, id, fault)
			whole = true
		}
	}
}

// Stamp returns the server stamp that an engine adds to its response to a request.
func Stamp(id string) string { return "stamp-" + id }

// PlainBody returns the body of a plain response.
func PlainBody(id string) string { return "the whole answer to " + id }

// EventData returns the data of an event of an item.
func EventData(id string, number int) string { return fmt.Sprintf("%s-%d", id, number) }

// ItemText returns the complete output of an item: the data of all its events.
func ItemText(id string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = EventData(id, i+1)
	}
	return strings.Join(lines, "\n")
}

func (e *Engine) writePlain(w http.ResponseWriter, id string, fault EngineFault) {
	body := PlainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == TruncatesResponse {
		_, _ = io.WriteString(w, body[:len(body)/2])
		abortConnection()
	}
	_, _ = io.WriteString(w, body)
	if fault == DuplicatesResponse {
		writeDuplicate(w, body)
	}
}

// writeDuplicate sends a second response, which a client that reuses the connection would take for the response
// to its next request.
func writeDuplicate(w http.ResponseWriter, body string) {
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	connection, buffered, err := controller.Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: %d\r\n\r\n%s",
		headerRequestID, len(body), body)
	_ = buffered.Flush()
}

// writeStream writes the events of a run and reports whether it reached the last one.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, run Run, fault EngineFault) (whole bool) {
	model := r.Header.Get(headerModel)
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	version := e.Version(model)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerVersions, strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	events := e.options.Events(run.ID)
	for number := after + 1; number <= events; number++ {
		if !e.wait(r, e.options.EventTime) {
			return false
		}
		if e.crashesOn(run) && number > after+e.options.EventsBeforeCrash {
			e.options.Crash(run)
			abortConnection()
		}
		if fault == TruncatesResponse && number > (after+events)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", number)
			_ = controller.Flush()
			abortConnection()
		}
		if current := e.Version(model); current != version {
			version = current
			_, _ = fmt.Fprintf(w, "%s: %d\n", strings.ToLower(headerVersions), version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, e.options.Data(run.ID, number, version))
		_ = controller.Flush()
	}
	return true
}
