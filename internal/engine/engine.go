// Package engine is the boundary to a model engine: the messages, the errors and
// the interface that corkpulley asks of one. It imports no client; see
// internal/platform/enginehttp for the adapter.
package engine

import (
	"context"
	"time"
)

// State is the serving state that an engine reports.
type State string

// Engine states.
const (
	// StateServing: takes new requests for the models it has whole.
	StateServing State = "serving"
	// StateDraining: finishes what it has, refuses new requests as not run.
	StateDraining State = "draining"
	// StateBroken: a load failed part-way; refuses until a load succeeds.
	StateBroken State = "broken"
)

// ModelVersion is one model (or adapter) at one weight version. Versions of a
// model count up from 1.
type ModelVersion struct {
	Model   string `json:"model" msgpack:"m"`
	Version uint64 `json:"version" msgpack:"v"`
}

// GenerateRequest asks for a token stream.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	// Attempt numbers the sends of one request to engines, from 1.
	Attempt uint32 `json:"attempt"`
	Service string `json:"service"`
	Model   string `json:"model"`
	// MinVersion refuses the request (as not run) while the engine has a lower
	// version of Model; zero accepts any.
	MinVersion uint64 `json:"min_version,omitempty"`
	Prompt     string `json:"prompt"`
	// Generated are the tokens that earlier attempts already produced: the
	// engine continues after them and numbers its first new token len(Generated).
	Generated []string `json:"generated,omitempty"`
	// MaxTokens bounds the whole answer, Generated included.
	MaxTokens int `json:"max_tokens"`
	// Seed makes sampling repeatable; Temperature is passed through.
	Seed        int64   `json:"seed,omitempty"`
	Temperature float64 `json:"temperature,omitempty"`
	// Priority: higher runs first among the engine's waiting requests.
	Priority int `json:"priority"`
	// ResumeFrom, when set, reconnects to the stream of the same request and
	// attempt, from that token index on; it never starts a request.
	ResumeFrom *int `json:"resume_from,omitempty"`
	// KVHandle names an imported KV cache to start from; empty for none.
	KVHandle string `json:"kv_handle,omitempty"`
}

// Chunk is one message of a token stream. Tokens never span two versions.
type Chunk struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// FirstToken is the index of Tokens[0] in the whole answer, from 0.
	FirstToken int      `json:"first_token"`
	Tokens     []string `json:"tokens"`
	// Version is the weight version that produced Tokens.
	Version uint64 `json:"version"`
	// Finished is set on the last chunk (which may have no tokens).
	Finished     bool   `json:"finished,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length", "canceled", "error"
	// CachedTokens counts prompt tokens served from the prefix cache; first chunk only.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Refusal is the JSON body of any non-200 answer.
type Refusal struct {
	Code    string `json:"code"` // "draining", "overloaded", "broken", "version", "unknown_stream", "stale_fence", "invalid"
	Message string `json:"message"`
	// Ran is false when the engine guarantees that the request did not run.
	Ran bool `json:"ran"`
	// Fence is the highest fence seen, with code "stale_fence".
	Fence int64 `json:"fence,omitempty"`
}

// Status is the answer of GET /v1/status and the body of status events. The
// load figures lag by the engine's reporting interval.
type Status struct {
	ID     string         `json:"id"`
	Pool   string         `json:"pool"`
	Zone   string         `json:"zone"`
	State  State          `json:"state"`
	Models []ModelVersion `json:"models"`
	// Loading is the model being swapped in, nil when none.
	Loading *ModelVersion `json:"loading,omitempty"`
	// MaxBatch is the number of requests that run at once.
	MaxBatch int `json:"max_batch"`
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	// CacheTokens and CacheCapacity describe the prefix cache, in tokens.
	CacheTokens   int `json:"cache_tokens"`
	CacheCapacity int `json:"cache_capacity"`
	// Fence is the highest order fence seen.
	Fence int64 `json:"fence"`
	// Fences holds the highest fence seen for each model, as fences of different
	// models have no common order; "" stands for changes of role.
	Fences map[string]int64 `json:"fences,omitempty"`
	// Incarnation changes with each start of the engine.
	Incarnation string `json:"incarnation"`
}

// EventKind names the type of an Event.
type EventKind string

// Event kinds on the watch stream.
const (
	EventStatus  EventKind = "status"
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event is one message of the watch stream. Status events come at once on a
// change of state or versions, and at the interval asked for otherwise. Cache
// events come late and with gaps.
type Event struct {
	Kind   EventKind `json:"kind"`
	Status *Status   `json:"status,omitempty"`
	// Sequence counts cache events; a jump tells of a gap.
	Sequence uint64 `json:"sequence,omitempty"`
	// Prefixes are the hashes (see PrefixHashes) that were stored or evicted.
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// Order is a fenced order to an engine. An order with a lower fence than one
// seen before for the same Model (or, without a model, for the engine's role) is
// refused with code "stale_fence"; the same order again is harmless.
type Order struct {
	Fence int64 `json:"fence"`
	// Kind is "load" (load Model at Version), "drain" or "serve" (change of role).
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// KVExport is the answer of POST /v1/kv/export (body: CancelRequest) and the
// body of POST /v1/kv/import (which answers KVHandle).
type KVExport struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	Data      []byte `json:"data"`
}

// KVHandle names an imported KV cache at one engine.
type KVHandle struct {
	Handle string `json:"handle"`
}

// Stream is an open token stream. Receive returns io.EOF after the finished
// chunk; any other error means that the stream broke and may be resumed.
type Stream interface {
	Receive() (Chunk, error)
	Close() error
}

// SendError tells how far a failed call got.
type SendError struct {
	// Refusal is set when the engine answered with one.
	Refusal *Refusal
	// Sent is false when no byte of the request can have reached the engine.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *SendError) Error() string {
	if e.Refusal != nil {
		return "engine refused: " + e.Refusal.Code + ": " + e.Refusal.Message
	}
	return "engine call failed: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// NotExecuted reports whether the request certainly did not run.
func (e *SendError) NotExecuted() bool {
	return !e.Sent || (e.Refusal != nil && !e.Refusal.Ran)
}

// Client is all that corkpulley asks of an engine at an address ("host:port").
// Errors of Generate, Order, KVExport and KVImport are *SendError.
type Client interface {
	Generate(ctx context.Context, address string, request GenerateRequest) (Stream, error)
	Cancel(ctx context.Context, address string, request CancelRequest) error
	Status(ctx context.Context, address string) (Status, error)
	// Watch calls handle for each event until ctx ends or the stream breaks.
	Watch(ctx context.Context, address string, interval time.Duration, handle func(Event)) error
	Order(ctx context.Context, address string, order Order) error
	KVExport(ctx context.Context, address string, request CancelRequest) (KVExport, error)
	KVImport(ctx context.Context, address string, export KVExport) (KVHandle, error)
}
