package ingress

import (
	"context"
	"net/http"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// Reply is the end of a request that this process made itself.
type Reply struct {
	// Status and Stamp are those of the engine's whole answer; zero and empty when
	// there is none.
	Status int
	Stamp  string
	// ServerErrors counts the engines that ran the request and answered 500.
	ServerErrors int
	// MaxAttempts is the route's.
	MaxAttempts int
}

// Call makes a request of this process's own, on the way of a live one: same
// route, choice of engines and retries. The body of the answer is read whole and
// dropped.
func (r *Relay) Call(ctx context.Context, request *Request) (Reply, *errkind.Error) {
	var answer answerHead
	x, cancel, failure := r.begin(&answer, ctx, request)
	if failure != nil {
		return Reply{}, failure
	}
	defer cancel()
	failure = x.run()
	x.log(failure)
	reply := Reply{ServerErrors: x.serverErrors, MaxAttempts: max(1, x.route.MaxAttempts)}
	if failure == nil {
		reply.Status, reply.Stamp = x.status, x.stamp
	}
	return reply, failure
}

// answerHead takes an answer of which only the head is wanted. It implements
// http.ResponseWriter.
type answerHead struct{ header http.Header }

// Header implements http.ResponseWriter.
func (a *answerHead) Header() http.Header {
	if a.header == nil {
		a.header = make(http.Header)
	}
	return a.header
}

// Write implements http.ResponseWriter.
func (*answerHead) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader implements http.ResponseWriter.
func (*answerHead) WriteHeader(int) {}
