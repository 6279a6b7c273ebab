// Package callerwrite writes responses to callers that read slowly or not at all.
//
// It decouples the source of a response from its caller: an engine aborts a response that is not read for some
// seconds, which would cost its connection. Bytes are therefore buffered until the caller reads them, up to a limit
// for each caller, and count against the node's memory budget. A caller that reads nothing for the stall timeout is
// disconnected.
package callerwrite

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
)

const (
	// chunkBytes is the size of one write. The stall timeout applies to each write.
	chunkBytes = 32 << 10
	// MaxBufferedBytes bounds the bytes buffered for one caller: about a minute of an event stream, or most responses
	// in full.
	MaxBufferedBytes = 1 << 20
)

// Limits bound the memory and the time spent on slow callers. The zero value enforces only MaxBufferedBytes.
type Limits struct {
	Budget *bytebudget.Budget
	// StallTimeout is how long a caller may read nothing before it is disconnected; zero for no limit.
	StallTimeout time.Duration
	// OnStalled, if set, is called for each disconnected caller with the number of unread bytes.
	OnStalled func(unread int)
}

// Write writes content to a caller in chunks. It returns when all of it has been written, or the error of the first
// write that failed. Until then content counts against the budget.
func (l Limits) Write(w http.ResponseWriter, content []byte) error {
	unwritten := content
	l.Budget.ForceReserve(bytebudget.Answers, int64(len(content)))
	defer l.Budget.Release(bytebudget.Answers, int64(len(content)))
	for len(unwritten) > 0 {
		chunk := unwritten[:min(chunkBytes, len(unwritten))]
		if err := l.writeChunk(w, chunk); err != nil {
			l.reportStall(err, len(unwritten))
			return err
		}
		unwritten = unwritten[len(chunk):]
	}
	l.setDeadline(w, time.Time{})
	return nil
}

func (l Limits) writeChunk(w http.ResponseWriter, chunk []byte) error {
	if l.StallTimeout > 0 {
		l.setDeadline(w, time.Now().Add(l.StallTimeout))
	}
	_, err := w.Write(chunk)
	return err
}

// setDeadline sets the deadline of further writes; the zero time for none. Errors are ignored: connections that do
// not support deadlines, as in tests, have none.
func (l Limits) setDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// reportStall calls OnStalled if the write timed out. A caller that disconnected by itself is not reported.
func (l Limits) reportStall(err error, unread int) {
	if l.OnStalled != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		l.OnStalled(unread)
	}
}
