package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/common/connlost"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/sse"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered before its first byte is sent to the caller, so
	// that a truncated answer can be retried.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the buffer size for copying larger answers.
	copyBufferBytes = 32 << 10
	// callerStallThreshold is how long an engine must have waited for a slow caller for a truncated answer not to
	// count as the engine's failure: engines abort answers that are not read for some seconds.
	callerStallThreshold = 500 * time.Millisecond
	eventStream          = "text/event-stream"
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies all headers except hop-by-hop ones.
func CopyHeader(to, from http.Header) {
	dropped := make(map[string]bool)
	for _, name := range hopByHopHeaders {
		dropped[name] = true
	}
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !dropped[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

func (x *exchange) isStream(answer *Answer) bool {
	return answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream)
}

// relayBuffered forwards an answer that is not an event stream. It buffers up to maxBufferedBytes first.
func (x *exchange) relayBuffered(answer *Answer, outcome *fleet.Outcome) verdict {
	var start bytes.Buffer
	_, err := io.CopyN(&start, answer.Body, maxBufferedBytes)
	switch {
	case errors.Is(err, io.EOF) && start.Len() == 0 && answer.Status/100 == 2 && answer.EndsWithConnection:
		outcome.Failed, outcome.ConnectionLost = true, true
		return x.retryVerdict()
	case errors.Is(err, io.EOF):
		x.received = true
		x.writeHeader(answer, strconv.Itoa(start.Len()))
		return x.written(x.relay.options.CallerLimits.Write(x.w, start.Bytes()))
	case err != nil:
		outcome.Failed, outcome.ConnectionLost = true, connlost.ClosedByPeer(err)
		return x.retryVerdict()
	}
	x.writeHeader(answer, answer.Header.Get("Content-Length"))
	return x.relayLarge(io.MultiReader(&start, answer.Body), outcome)
}

// relayLarge forwards an answer that exceeds maxBufferedBytes. It is read at the engine's pace while the spool
// has room, and at the caller's pace otherwise.
func (x *exchange) relayLarge(source io.Reader, outcome *fleet.Outcome) verdict {
	spool := callerwrite.NewSpool(x.w, x.relay.options.CallerLimits)
	waited, readErr, writeErr := x.copyTo(spool, source)
	engineFailed := waited < callerStallThreshold
	if err := spool.Close(); writeErr == nil {
		writeErr = err
	}
	if readErr != nil && writeErr == nil {
		outcome.Failed, outcome.ConnectionLost = engineFailed, engineFailed && connlost.ClosedByPeer(readErr)
		return giveUp
	}
	x.received = writeErr == nil
	return x.written(writeErr)
}

// written records how the last write of an answer to the caller ended. Only a received answer without a write error is
// complete.
func (x *exchange) written(err error) verdict {
	if err != nil {
		x.callerLost = true
		return giveUp
	}
	x.complete = x.received
	return answered
}

// copyTo copies an engine's answer to the spool until it ends. waited is how long the engine had to wait for the
// caller.
func (x *exchange) copyTo(spool *callerwrite.Spool, source io.Reader) (waited time.Duration, readErr, writeErr error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			writeErr = spool.Write(buffer[:count])
			began := x.relay.now()
			for errors.Is(writeErr, callerwrite.ErrFull) && x.ctx.Err() == nil {
				spool.AwaitProgress(x.ctx)
				writeErr = spool.Write(buffer[:count])
			}
			waited += x.relay.now().Sub(began)
		}
		switch {
		case writeErr != nil:
			return waited, nil, writeErr
		case errors.Is(err, io.EOF):
			return waited, nil, nil
		case err != nil:
			return waited, err, nil
		}
	}
}

func (x *exchange) writeHeader(answer *Answer, length string) {
	header := x.w.Header()
	CopyHeader(header, answer.Header)
	if _, found := header["Content-Type"]; !found {
		// Prevents the server from sniffing the content type.
		header["Content-Type"] = nil
	}
	if length != "" && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", length)
	}
	x.status, x.stamp = answer.Status, answer.Stamp
	x.w.WriteHeader(answer.Status)
}

// relayStream forwards events as they arrive. An interrupted stream is resumed at another engine if the route allows
// it.
func (x *exchange) relayStream(answer *Answer, outcome *fleet.Outcome) verdict {
	if !x.streaming {
		answer.Header.Del("Content-Length")
		x.writeHeader(answer, "")
		x.streaming = true
		x.lastEventID = x.request.After
	}
	spool := callerwrite.NewSpool(x.w, x.relay.options.CallerLimits)
	result := x.relayEvents(answer, spool, outcome)
	if err := spool.Close(); err != nil || x.received {
		return x.written(err)
	}
	return result
}

// relayEvents copies an engine's events to the spool until the stream ends, which sets received.
func (x *exchange) relayEvents(answer *Answer, spool *callerwrite.Spool, outcome *fleet.Outcome) verdict {
	events := sse.NewReader(answer.Body)
	for empty := true; ; empty = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && empty && answer.EndsWithConnection {
			outcome.Failed, outcome.ConnectionLost = true, true
			return x.streamInterrupted()
		}
		if errors.Is(err, io.EOF) {
			x.received = true
			return answered
		}
		if err != nil || event.HasID && x.lastEventID != 0 && event.ID != x.lastEventID+1 {
			outcome.Failed, outcome.ConnectionLost = true, connlost.ClosedByPeer(err)
			return x.streamInterrupted()
		}
		err = spool.Write(event.Raw)
		if errors.Is(err, callerwrite.ErrFull) {
			// The caller must not take the truncated stream for a complete one.
			return giveUp
		}
		if err != nil {
			return giveUp
		}
		x.unnumbered = x.unnumbered || !event.HasID
		if event.HasID {
			x.lastEventID = event.ID
		}
	}
}

// streamInterrupted decides whether a stream may be resumed at another engine. Events without an ID cannot be skipped
// there, so the caller would receive them twice.
func (x *exchange) streamInterrupted() verdict {
	if x.route.Resumable && !x.unnumbered && x.executions < max(1, x.route.MaxAttempts) && x.ctx.Err() == nil {
		return tryNext
	}
	return giveUp
}
