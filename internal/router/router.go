// Package router runs a request on the cells of the cluster: it selects a cell, submits the request to
// its dispatcher, reattaches after a broken stream and continues repeatable requests at another cell.
// The gateway and the trainer coordinator use it.
package router

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// Request is a request to a service of the policy table.
type Request struct {
	// ID is unique across all nodes.
	ID            string
	Row           policy.Row
	TableRevision int64
	// MinVersion is the lowest version of Row.Model that may run the request; 0 accepts any.
	MinVersion     uint64
	Prompt         string
	MaxTokens      int
	ExpectedTokens int
	Seed           int64
	Temperature    float64
	// Urgent is evaluated at each submission; nil means not urgent.
	Urgent func() bool
	// QueueTimeout bounds the wait for an engine; 0 selects the dispatcher's default.
	QueueTimeout time.Duration
}

// Piece is a run of consecutive new tokens generated under one weight version.
type Piece struct {
	FirstToken int
	Tokens     []string
	Version    uint64
}

// Result describes a complete answer.
type Result struct {
	Tokens       int
	Versions     []api.VersionSpan // cover [0, Tokens) without gaps
	FinishReason string
	CachedTokens int
}

// Router runs requests. onPiece is called sequentially and receives each token index exactly once, in
// order; an error from it cancels the request. Errors are *errkind.Error and state whether the request
// was executed.
type Router interface {
	Run(ctx context.Context, request Request, onPiece func(Piece) error) (Result, error)
}
