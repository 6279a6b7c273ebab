package jobrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

const (
	// Path is where other nodes send their questions.
	Path = "/jobs"
	// maxRequestBytes bounds a question: two IDs and a few numbers.
	maxRequestBytes = 16 << 10
	// maxWait bounds how long a reader of results is held.
	maxWait = 5 * time.Second
)

// NewHandler answers questions of other nodes while this node is a replica.
func NewHandler(jobs Jobs, isReplica func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		var asked request
		if err == nil {
			err = msgpackguard.Check(raw)
		}
		if err == nil {
			err = msgpack.Unmarshal(raw, &asked)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer := response{NoReplica: true}
		if isReplica() {
			answer = serve(r.Context(), jobs, asked)
		}
		encoded, err := msgpack.Marshal(answer)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// A reader that has left asks another node.
		_, _ = w.Write(encoded)
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
