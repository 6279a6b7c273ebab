package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/keyed"
	"github.com/corkpulley/corkpulley/internal/router"
)

var errAborted = errkind.New(errkind.Internal, "the request's handler was aborted")

// responder sends an answer as server-sent events or as one JSON body.
type responder interface {
	// piece accepts new tokens; an error cancels the request.
	piece(piece router.Piece) error
	finish(result router.Result) error
	// fail sends an error in the form that is still possible after what was already sent.
	fail(err error)
}

// handleCompletion serves POST /v1/completions.
func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	// err is overwritten unless the handler panics.
	record := &record{requestID: g.newRequestID(), started: time.Now(), err: errAborted}
	w.Header().Set(api.HeaderRequestID, record.requestID)
	entered := g.inflight.enter()
	if entered {
		defer g.inflight.leave()
	}
	defer g.report(record)
	call, err := g.admit(w, r, record.requestID, entered)
	if err != nil {
		record.err = err
		g.newErrorResponder(w).fail(err)
		return
	}
	record.call = call
	record.err = g.answer(r.Context(), w, record)
}

// admit validates the request, or refuses it if this node is not accepting requests.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, requestID string, entered bool) (*call, error) {
	if !entered {
		return nil, errkind.New(errkind.ShuttingDown, "this node is stopping")
	}
	if err := g.options.Tables.CheckCurrent(); err != nil {
		return nil, err
	}
	return g.parse(w, r, requestID)
}

// answer runs the request and sends its answer.
func (g *Gateway) answer(ctx context.Context, w http.ResponseWriter, record *record) error {
	responder := g.newResponder(w, record.call)
	result, err := g.run(ctx, record.call, func(piece router.Piece) error {
		record.addPiece(piece)
		return responder.piece(piece)
	})
	record.result = result
	if err != nil {
		responder.fail(err)
		return err
	}
	return responder.finish(result)
}

// run executes the request, at most once if it has an idempotency key and is not repeatable. The key
// of a repeatable request is only logged because running it twice is safe.
func (g *Gateway) run(ctx context.Context, call *call, onPiece func(router.Piece) error) (router.Result, error) {
	if call.key == "" || call.request.Row.Repeatable {
		return g.options.Router.Run(ctx, call.request, onPiece)
	}
	return g.options.Keyed.Execute(ctx, keyed.Request{
		Key:         call.key,
		Service:     call.request.Row.Service,
		Fingerprint: call.fingerprint,
		Submission:  keyed.NewSubmission(call.request),
	}, onPiece)
}

func (g *Gateway) newResponder(w http.ResponseWriter, call *call) responder {
	template := completionTemplate{
		id:           call.request.ID,
		created:      time.Now().Unix(),
		service:      call.request.Row.Service,
		promptTokens: promptTokens(call.request.Prompt),
	}
	writer := newDeadlineWriter(w, g.options.WriteTimeout)
	if call.stream {
		return &eventResponder{writer: writer, template: template}
	}
	return &jsonResponder{writer: writer, template: template}
}

// newErrorResponder returns a responder for a request that was not admitted.
func (g *Gateway) newErrorResponder(w http.ResponseWriter) responder {
	return &jsonResponder{writer: newDeadlineWriter(w, g.options.WriteTimeout)}
}
