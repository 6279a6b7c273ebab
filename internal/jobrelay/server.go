package jobrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

const (
	// Path is where other nodes send their questions.
	Path = "/jobs"
	// maxRequestBytes bounds a question: two IDs and a few numbers.
	maxRequestBytes = 16 << 10
	// maxWait bounds how long a reader of results is held.
	maxWait = 5 * time.Second
)

// NewHandler answers questions of other nodes that are bound to regions where this node answers for them.
func NewHandler(jobs Jobs, answers func(within homes.Set) bool) http.Handler {
	return msgpackhttp.Handle(maxRequestBytes, func(ctx context.Context, asked request) response {
		within := homes.Of(asked.Homes)
		if !answers(within) {
			return response{NoReplica: true}
		}
		return serve(homes.NewContext(ctx, within), jobs, asked)
	})
}

func serve(ctx context.Context, jobs Jobs, asked request) response {
	switch asked.Operation {
	case opResults:
		results, err := jobs.Results(ctx, asked.Job, asked.From, min(asked.Wait, maxWait))
		if err != nil {
			return failed(err)
		}
		return encodeResults(results)
	case opBody:
		body, err := jobs.Body(ctx, asked.Job, asked.Item)
		if err != nil {
			return failed(err)
		}
		return response{Body: body}
	case opEnd:
		if err := jobs.End(ctx, asked.Job); err != nil {
			return failed(err)
		}
		return response{}
	default:
		return response{NoReplica: true}
	}
}
