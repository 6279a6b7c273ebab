// Package logservice is the boundary to the platform's append-only log
// service: a small interface, its wire types and one HTTP adapter.
package logservice

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused: the log says that the append did not and will not take effect.
var ErrRefused = errors.New("log service: append refused")

// ErrUnknown: the append may or may not have taken effect, now or later.
var ErrUnknown = errors.New("log service: append outcome unknown")

// ErrUnavailable: a read failed; reads have no effect, so it may be repeated.
var ErrUnavailable = errors.New("log service: read failed")

// Entry is one record at its offset. Offsets start at 0 in each stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Entries []Entry `json:"entries"`
	// End is the offset after the last record of the stream at the time of the read.
	End int64 `json:"end"`
}

// Service is all that corkpulley asks of the log. Nothing depends on
// conditional appends, on transactions or on more than one stream at once.
type Service interface {
	// Append adds records in order and returns the offset of the first.
	// A non-nil error wraps ErrRefused or ErrUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns up to limit records from offset from on. When there is none
	// it waits up to wait for one; a negative from counts back from the end.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// AppendRequest is the JSON body of POST /v1/append?stream=NAME.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse answers an append. Refused is set with status 409, 413 or 503
// when the log guarantees that nothing was appended.
type AppendResponse struct {
	Offset  int64  `json:"offset"`
	Refused bool   `json:"refused,omitempty"`
	Message string `json:"message,omitempty"`
}

// Reads are GET /v1/read?stream=NAME&from=N&limit=N&wait_ms=N and answer a Batch.
