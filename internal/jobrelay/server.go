package jobrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

const (
	// Path is the HTTP path of queries by other nodes.
	Path            = "/jobs"
	maxRequestBytes = 16 << 10
	// maxWait bounds the wait for results of one query.
	maxWait = 5 * time.Second
)

// NewHandler serves queries by other nodes. isReplicaFor reports whether this node is a replica for jobs bound to the
// regions.
func NewHandler(jobs Jobs, isReplicaFor func(within homes.Set) bool) http.Handler {
	return msgpackhttp.Handle(maxRequestBytes, func(ctx context.Context, query request) response {
		within := homes.Of(query.Homes)
		if !isReplicaFor(within) {
			return response{NotReplica: true}
		}
		return serve(homes.NewContext(ctx, within), jobs, query)
	})
}

func serve(ctx context.Context, jobs Jobs, query request) response {
	switch query.Operation {
	case opResults:
		results, err := jobs.Results(ctx, query.Job, query.From, min(query.Wait, maxWait))
		if err != nil {
			return errorResponse(err)
		}
		return encodeResults(results)
	case opBody:
		body, err := jobs.Body(ctx, query.Job, query.Item)
		if err != nil {
			return errorResponse(err)
		}
		return response{Body: body}
	case opEnd:
		if err := jobs.End(ctx, query.Job); err != nil {
			return errorResponse(err)
		}
		return response{}
	default:
		// Only a newer build knows the operation, so the caller tries another replica.
		return response{NotReplica: true}
	}
}
