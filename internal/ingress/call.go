package ingress

import (
	"context"
	"net/http"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// Reply is the result of a request that this process made itself.
type Reply struct {
	// Status and Stamp are those of the engine's complete answer; zero and empty if there is none.
	Status int
	Stamp  string
	// ServerErrors is the number of engines that ran the request and answered with status 500.
	ServerErrors int
	// MaxAttempts is the route's limit of attempts.
	MaxAttempts int
}

// Call runs a request that this process makes itself, with the same routing, choice of engines and retries as a live
// one, but without quarantine. The body of the answer is read and discarded.
func (r *Relay) Call(ctx context.Context, request *Request) (Reply, *errkind.Error) {
	var answer discardWriter
	x, cancel, failure := r.begin(&answer, ctx, request)
	if failure != nil {
		return Reply{}, failure
	}
	defer cancel()
	x.guard = r.options.ExemptGuard
	failure = x.run()
	x.log(failure)
	reply := Reply{ServerErrors: x.serverErrors, MaxAttempts: max(1, x.route.MaxAttempts)}
	if failure == nil {
		reply.Status, reply.Stamp = x.status, x.stamp
	}
	return reply, failure
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (a *discardWriter) Header() http.Header {
	if a.header == nil {
		a.header = make(http.Header)
	}
	return a.header
}

// Write implements http.ResponseWriter.
func (*discardWriter) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader implements http.ResponseWriter.
func (*discardWriter) WriteHeader(int) {}
