// Package jobrelay forwards queries about batch jobs to the zone's replicas (internal/core/replicaset) in a large
// cluster. A node that answers a query itself first reads the job's whole index partition. After a restart of hundreds
// of nodes such reads would overload the log and time out, and no job could be read.
package jobrelay

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// Jobs answers queries about batch jobs; see batchjobs.Service.
type Jobs interface {
	Results(ctx context.Context, jobID string, from int, wait time.Duration) (batchjobs.Results, error)
	Body(ctx context.Context, jobID, itemID string) ([]byte, error)
	End(ctx context.Context, jobID string) error
}

var _ Jobs = (*batchjobs.Service)(nil)

// operation is the kind of a request.
type operation uint8

const (
	opResults operation = iota + 1
	opBody
	opEnd
)

// request is a query to a replica, encoded as msgpack.
type request struct {
	Operation operation     `msgpack:"o"`
	Job       string        `msgpack:"j"`
	Item      string        `msgpack:"i,omitempty"`
	From      int           `msgpack:"f,omitempty"`
	Wait      time.Duration `msgpack:"w,omitempty"`
	// Homes are the only regions in which the answer's data may be stored; empty for all.
	Homes []string `msgpack:"h,omitempty"`
}

// response is the answer to a request, encoded as msgpack.
type response struct {
	// NotReplica: the peer is not a replica; the request was not executed.
	NotReplica bool `msgpack:"n,omitempty"`
	// Error is nil when the request succeeded.
	Error *errkind.Error `msgpack:"e,omitempty"`

	Total   int      `msgpack:"t,omitempty"`
	Results []result `msgpack:"r,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
}

type result struct {
	Item     string        `msgpack:"i"`
	Outcome  batch.Outcome `msgpack:"o"`
	Text     []byte        `msgpack:"t"`
	Versions []int64       `msgpack:"v,omitempty"`
	Score    string        `msgpack:"s,omitempty"`
}

func encodeResults(results batchjobs.Results) response {
	encoded := response{Total: results.Total}
	for _, each := range results.Results {
		encoded.Results = append(encoded.Results, result{
			Item: each.ItemID, Outcome: each.Outcome, Text: each.Text, Versions: each.Versions, Score: each.Score,
		})
	}
	return encoded
}

func (r response) results() batchjobs.Results {
	decoded := batchjobs.Results{Total: r.Total}
	for _, each := range r.Results {
		decoded.Results = append(decoded.Results, batchjobs.ResultText{
			ItemID: each.Item, Outcome: each.Outcome, Text: each.Text, Versions: each.Versions, Score: each.Score,
		})
	}
	return decoded
}

// errorResponse returns a response that carries the error.
func errorResponse(err error) response { return response{Error: errkind.From(err)} }

// err returns the error that the response carries, if any.
func (r response) err() error {
	if r.Error == nil {
		return nil
	}
	return r.Error
}
