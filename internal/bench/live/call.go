// Package live is a client and load generator for corkpulley's live services,
// for benchmarks and tests. It validates each response against the output
// format of the engine stand-ins, measures latencies, and records a history for
// checkers.
package live

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Call is one request to a live service.
type Call struct {
	// Address is the caller address ("ip:port") of the node to send the request to.
	Address   string
	Service   string
	Prompt    string
	MaxTokens int
	Seed      int64
	// Stream requests server-sent events.
	Stream bool
	// IdempotencyKey is sent when it is not empty.
	IdempotencyKey string
}

// Outcome is the result of one call as observed by the caller.
type Outcome struct {
	Call Call `json:"call"`
	// Started and Ended are Unix times in nanoseconds, by the caller's clock.
	Started int64 `json:"started"`
	Ended   int64 `json:"ended"`
	// RequestID is the ID assigned by the service; empty when no response headers arrived.
	RequestID string `json:"request_id,omitempty"`
	// Status is the HTTP status; zero when no response arrived.
	Status int `json:"status"`
	// Code and Executed come from an error response or SSE error event.
	Code     string `json:"code,omitempty"`
	Executed string `json:"executed,omitempty"`
	// Text, Usage, Versions and FinishReason hold the completion as far as it was received.
	Text         string            `json:"text,omitempty"`
	Usage        *api.Usage        `json:"usage,omitempty"`
	Versions     []api.VersionSpan `json:"versions,omitempty"`
	FinishReason string            `json:"finish_reason,omitempty"`
	// Done is set once the response was received up to its end ([DONE] or an error event for SSE).
	Done bool `json:"done"`
	// TimeToFirstToken is zero when no text arrived.
	TimeToFirstToken time.Duration `json:"time_to_first_token"`
	Latency          time.Duration `json:"latency"`
	// NotConnected is set when the connection could not be established, so that
	// no byte of the request was sent.
	NotConnected bool `json:"not_connected,omitempty"`
	// TransportError describes a broken connection or malformed response.
	TransportError string `json:"transport_error,omitempty"`
	// Violations lists every rule that a completed response violates (see Check).
	Violations []string `json:"faults,omitempty"`
}

// OK reports whether a complete and valid completion was received.
func (o *Outcome) OK() bool {
	return o.Done && o.Code == "" && o.TransportError == "" && len(o.Violations) == 0
}

// Refused reports whether the service responded that the request was not executed.
func (o *Outcome) Refused() bool { return o.Code != "" && o.Executed == "no" }

// Invalid reports whether the response violates an invariant: a completion with
// violations, or an error whose header and body disagree.
func (o *Outcome) Invalid() bool { return len(o.Violations) > 0 }
