// Package live is a caller of corkpulley's live services for benches and tests:
// it sends requests, checks each answer whole against the contract of the
// engine stand-ins, measures latencies, and records a history for checkers.
package live

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Call is one request to a live service.
type Call struct {
	// Address is the callers' address ("ip:port") of the node to ask.
	Address   string
	Service   string
	Prompt    string
	MaxTokens int
	Seed      int64
	// Stream asks for server-sent events.
	Stream bool
	// IdempotencyKey is sent when it is not empty.
	IdempotencyKey string
}

// Outcome tells what the caller saw of one call.
type Outcome struct {
	Call Call `json:"call"`
	// Started and Ended are Unix times in nanoseconds, by the caller's clock.
	Started int64 `json:"started"`
	Ended   int64 `json:"ended"`
	// RequestID is the service's ID; empty when no answer's head arrived.
	RequestID string `json:"request_id,omitempty"`
	// Status is the HTTP status; zero when no answer arrived.
	Status int `json:"status"`
	// Code and Executed are those of an error answer or SSE error event.
	Code     string `json:"code,omitempty"`
	Executed string `json:"executed,omitempty"`
	// Text, Usage, Versions and FinishReason are the answer as far as it came.
	Text         string            `json:"text,omitempty"`
	Usage        *api.Usage        `json:"usage,omitempty"`
	Versions     []api.VersionSpan `json:"versions,omitempty"`
	FinishReason string            `json:"finish_reason,omitempty"`
	// Done is set once the answer ended as its form demands ([DONE] for SSE).
	Done bool `json:"done"`
	// TimeToFirstToken is zero when no text arrived.
	TimeToFirstToken time.Duration `json:"time_to_first_token"`
	Latency          time.Duration `json:"latency"`
	// NotConnected is set when no connection could be made, so that no byte of
	// the call left the caller.
	NotConnected bool `json:"not_connected,omitempty"`
	// TransportError describes a broken connection or malformed answer.
	TransportError string `json:"transport_error,omitempty"`
	// Faults lists every broken rule of a completed answer (see Check).
	Faults []string `json:"faults,omitempty"`
}

// OK reports whether the call was answered whole and without a fault.
func (o *Outcome) OK() bool {
	return o.Done && o.Code == "" && o.TransportError == "" && len(o.Faults) == 0
}

// Refused reports whether the service said that the call was not run.
func (o *Outcome) Refused() bool { return o.Code != "" && o.Executed == "no" }

// Broken reports whether the answer breaks a promise: a completed answer with
// faults, or an error whose parts disagree.
func (o *Outcome) Broken() bool { return len(o.Faults) > 0 }
