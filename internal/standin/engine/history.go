package engine

import (
	"slices"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// Outcomes of a request in the history.
const (
	OutcomeRunning  = "running"
	OutcomeBroken   = "broken"
	OutcomeCanceled = engine.FinishCanceled
)

// RequestHistory is what the engine really did for one request that it
// started. Times are Unix nanoseconds; a request that still runs has no end.
type RequestHistory struct {
	RequestID     string `json:"request_id"`
	Attempt       uint32 `json:"attempt"`
	Service       string `json:"service"`
	Model         string `json:"model"`
	PromptHash    uint64 `json:"prompt_hash"`
	StartedUnixNS int64  `json:"started_unix_ns"`
	EndedUnixNS   int64  `json:"ended_unix_ns,omitempty"`
	// StartIndex is the index of the first token made here.
	StartIndex int `json:"start_index"`
	// PromptTokens is the prompt's length; CachedTokens of it were cached.
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	Spans        []Span `json:"spans"`
	// Outcome is "running", "broken", or the finish reason.
	Outcome string `json:"outcome"`
}

// Span is a run of tokens [From, To) made under one weight version.
type Span = span

// OrderHistory is one order that reached the engine.
type OrderHistory struct {
	engine.Order
	ReceivedUnixNS int64 `json:"received_unix_ns"`
	Refused        bool  `json:"refused"`
	// Result of an accepted order: "accepted", "done", "failed" or "superseded".
	Result string `json:"result,omitempty"`
}

// Results in OrderHistory.
const (
	ResultAccepted   = "accepted"
	ResultDone       = "done"
	ResultFailed     = "failed"
	ResultSuperseded = "superseded"
)

// History answers GET /v1/history.
type History struct {
	ID          string           `json:"id"`
	Incarnation string           `json:"incarnation"`
	Requests    []RequestHistory `json:"requests"`
	Orders      []OrderHistory   `json:"orders"`
}

// History returns a copy of the history so far; it is empty unless
// Config.History is set.
func (s *Server) History() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := History{
		ID:          s.id,
		Incarnation: s.incarnation,
		Requests:    make([]RequestHistory, 0, len(s.requests)),
		Orders:      make([]OrderHistory, 0, len(s.orders)),
	}
	for _, request := range s.requests {
		entry := *request.history
		entry.Spans = slices.Clone(request.spans)
		history.Requests = append(history.Requests, entry)
	}
	for _, order := range s.orders {
		history.Orders = append(history.Orders, *order)
	}
	return history
}
