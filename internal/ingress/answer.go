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
	"github.com/corkpulley/corkpulley/internal/eventstream"
)

const (
	// wholeBytes is up to which size an answer is read whole before its first
	// byte goes to the caller, so that one cut off can be asked for again.
	wholeBytes = 256 << 10
	// copyBytes is what is read at once of a larger one.
	copyBytes = 32 << 10
	// heldUp is how long an engine must have waited for the caller that its breaking off is no failure of its own:
	// they break off what is not read for some seconds, and this node's reads lag by less.
	heldUp      = 500 * time.Millisecond
	eventStream = "text/event-stream"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader adds all headers but those that concern one connection.
func CopyHeader(to, from http.Header) {
	dropped := make(map[string]bool)
	for _, name := range connectionHeaders {
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

// relayWhole passes on an answer that is no stream.
func (x *exchange) relayWhole(answer *Answer, outcome *fleet.Outcome) verdict {
	var start bytes.Buffer
	_, err := io.CopyN(&start, answer.Body, wholeBytes)
	switch {
	case errors.Is(err, io.EOF):
		x.writeHead(answer, strconv.Itoa(start.Len()))
		_ = x.relay.options.Callers.Write(x.w, start.Bytes())
		x.whole = true
		return answered
	case err != nil:
		outcome.Failed, outcome.ConnectionLost = true, connlost.Is(err)
		return x.again()
	}
	x.writeHead(answer, answer.Header.Get("Content-Length"))
	return x.relayLarge(io.MultiReader(&start, answer.Body), outcome)
}

// relayLarge passes on an answer that is too large to be read whole first, at the engine's pace for as long as
// what the caller has not taken is within bounds.
func (x *exchange) relayLarge(source io.Reader, outcome *fleet.Outcome) verdict {
	spool := callerwrite.NewSpool(x.w, x.relay.options.Callers)
	waited, readErr, writeErr := x.copyTo(spool, source)
	engineFailed := waited < heldUp
	if err := spool.Close(); writeErr == nil {
		writeErr = err
	}
	switch {
	case writeErr != nil:
		return giveUp
	case readErr != nil:
		outcome.Failed, outcome.ConnectionLost = engineFailed, engineFailed && connlost.Is(readErr)
		return giveUp
	default:
		x.whole = true
		return answered
	}
}

// copyTo reads an engine's answer into the spool until it ends. waited is how long the engine had to wait for the
// caller.
func (x *exchange) copyTo(spool *callerwrite.Spool, source io.Reader) (waited time.Duration, readErr, writeErr error) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			writeErr = spool.Write(buffer[:count])
			began := x.relay.now()
			for errors.Is(writeErr, callerwrite.ErrFull) && x.ctx.Err() == nil {
				spool.Await(x.ctx)
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

func (x *exchange) writeHead(answer *Answer, length string) {
	header := x.w.Header()
	CopyHeader(header, answer.Header)
	if _, found := header["Content-Type"]; !found {
		// Keeps the server from guessing one.
		header["Content-Type"] = nil
	}
	if length != "" && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", length)
	}
	x.status, x.stamp = answer.Status, answer.Stamp
	x.w.WriteHeader(answer.Status)
}

// relayStream passes on events as they arrive. A stream that broke off is
// continued at another engine, where the route allows it.
func (x *exchange) relayStream(answer *Answer, outcome *fleet.Outcome) verdict {
	if !x.streamed {
		answer.Header.Del("Content-Length")
		x.writeHead(answer, "")
		x.streamed = true
		x.after = x.request.After
	}
	spool := callerwrite.NewSpool(x.w, x.relay.options.Callers)
	result := x.relayEvents(answer, spool, outcome)
	if err := spool.Close(); err != nil && result == answered {
		x.whole = false
	}
	return result
}

// relayEvents reads an engine's events into the spool until the stream ends.
func (x *exchange) relayEvents(answer *Answer, spool *callerwrite.Spool, outcome *fleet.Outcome) verdict {
	events := eventstream.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			x.whole = true
			return answered
		}
		if err != nil || event.HasID && x.after != 0 && event.ID != x.after+1 {
			outcome.Failed, outcome.ConnectionLost = true, connlost.Is(err)
			return x.streamBroke()
		}
		err = spool.Write(event.Raw)
		if errors.Is(err, callerwrite.ErrFull) {
			// What was written must not look whole.
			return giveUp
		}
		if err != nil {
			return answered
		}
		if event.HasID {
			x.after = event.ID
		}
	}
}

// streamBroke decides whether a stream may go on at another engine.
func (x *exchange) streamBroke() verdict {
	if x.route.Resumable && x.ran < max(1, x.route.MaxAttempts) && x.ctx.Err() == nil {
		return tryNext
	}
	return giveUp
}
