// Package logservice defines the interface to the platform's append-only log service, and its HTTP client.
package logservice

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused means that the log guarantees that the append has no effect, now or later.
var ErrRefused = errors.New("log service: append refused")

// ErrOutcomeUnknown means that the append may or may not take effect, now or later.
var ErrOutcomeUnknown = errors.New("log service: append outcome unknown")

// ErrUnavailable means that a read failed; it may be repeated.
var ErrUnavailable = errors.New("log service: read failed")

// Entry is one record and its offset. The offsets of a stream start at 0.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of a read, the response to GET /v1/read?stream=NAME&from=N&limit=N&wait_ms=N.
type Batch struct {
	Entries []Entry `json:"entries"`
	// End is the offset after the last record of the stream at the time of the read.
	End int64 `json:"end"`
}

// Service is the log service. It need not support conditional appends, transactions or operations on several streams.
type Service interface {
	// Append appends the records in order and returns the offset of the first one. Errors wrap ErrRefused or
	// ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns up to limit records starting at offset from; a negative from counts back from the end. If
	// there are none it waits for one, for up to wait.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// AppendRequest is the JSON body of POST /v1/append?stream=NAME.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append. Refused is set, with status 409, 413 or 503, if the log
// guarantees that nothing was appended.
type AppendResponse struct {
	Offset  int64  `json:"offset"`
	Refused bool   `json:"refused,omitempty"`
	Message string `json:"message,omitempty"`
}
