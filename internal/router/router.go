// Package router runs one request to its end over the cells: it picks a cell,
// submits to the cell's dispatcher, re-attaches after a broken stream, and
// continues a repeatable request elsewhere. The gateway and the trainer
// coordinator both send their requests through it.
package router

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// Request is one request to run.
type Request struct {
	// ID is unique over all requests of all nodes.
	ID            string
	Row           policy.Row
	TableRevision int64
	// MinVersion of Row.Model that may run the request; 0 accepts any.
	MinVersion     uint64
	Prompt         string
	MaxTokens      int
	ExpectedTokens int
	Seed           int64
	Temperature    float64
	// Urgent is read at each (re)submission.
	Urgent func() bool
	// QueueTimeout bounds the wait for an engine; 0 takes the dispatcher's default.
	QueueTimeout time.Duration
}

// Piece is a run of new tokens in order, under one version.
type Piece struct {
	FirstToken int
	Tokens     []string
	Version    uint64
}

// Result describes a whole answer.
type Result struct {
	Tokens       int
	Versions     []api.VersionSpan // cover [0, Tokens) without a gap
	FinishReason string
	CachedTokens int
}

// Router runs requests. onPiece is called from one goroutine, each token index
// exactly once and in order; an error from it cancels the request. Errors are
// *errkind.Error and tell truly whether the request ran.
type Router interface {
	Run(ctx context.Context, request Request, onPiece func(Piece) error) (Result, error)
}
