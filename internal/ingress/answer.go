package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/connlost"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/eventstream"
)

const (
	// wholeBytes is up to which size an answer is read whole before its first
	// byte goes to the caller, so that one cut off can be asked for again.
	wholeBytes  = 256 << 10
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
		_, _ = x.w.Write(start.Bytes())
		x.whole = true
		return answered
	case err != nil:
		outcome.Failed, outcome.ConnectionLost = true, connlost.Is(err)
		return x.again()
	}
	x.writeHead(answer, answer.Header.Get("Content-Length"))
	_, err = io.Copy(x.w, io.MultiReader(&start, answer.Body))
	if err != nil {
		outcome.Failed, outcome.ConnectionLost = true, connlost.Is(err)
		return giveUp
	}
	x.whole = true
	return answered
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
	flush := http.NewResponseController(x.w)
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
		if _, err := x.w.Write(event.Raw); err != nil {
			return answered
		}
		_ = flush.Flush()
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
