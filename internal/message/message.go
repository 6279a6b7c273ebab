// Package message defines the messages that nodes exchange, encoded as msgpack
// over the peer transport. Durations are nanoseconds.
package message

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// CellID identifies a cell: up to CellSize engines of one pool in one zone that
// share a queue.
type CellID struct {
	Zone  string `msgpack:"z" json:"zone"`
	Pool  string `msgpack:"p" json:"pool"`
	Index int    `msgpack:"i" json:"index"`
}

// CellSize is the intended maximum number of engines per cell.
const CellSize = 16

// Submit requests that a dispatcher run a request on its cell and stream the
// output as Progress messages.
type Submit struct {
	// RequestID is globally unique; Attempt numbers the request's submissions to
	// dispatchers, from 1. A dispatcher attaches to a pair that it already has
	// rather than running it again.
	RequestID string `msgpack:"id"`
	Attempt   uint32 `msgpack:"a"`
	Cell      CellID `msgpack:"c"`
	Service   string `msgpack:"s"`
	// TableRevision is the revision from which the sender read the service's row.
	TableRevision int64  `msgpack:"tr"`
	Model         string `msgpack:"m"`
	// MinVersion is the lowest acceptable version of Model; 0 accepts any.
	MinVersion uint64   `msgpack:"mv"`
	Prompt     string   `msgpack:"p"`
	Generated  []string `msgpack:"g,omitempty"`
	MaxTokens  int      `msgpack:"mt"`
	// ExpectedTokens is the predicted length of the complete output; 0 when unknown.
	ExpectedTokens int     `msgpack:"et,omitempty"`
	Seed           int64   `msgpack:"sd"`
	Temperature    float64 `msgpack:"t"`
	Priority       int     `msgpack:"pr"`
	// Urgent moves the request ahead of others of the same priority, for stragglers.
	Urgent     bool `msgpack:"u,omitempty"`
	Repeatable bool `msgpack:"r"`
	// Continued means that an earlier attempt may have run in part; the request
	// goes ahead of those of its service that have not started.
	Continued bool `msgpack:"cn,omitempty"`
	// QueueTimeout bounds the wait in the dispatcher's queue.
	QueueTimeout time.Duration `msgpack:"q"`
	// Attach reconnects to a running request and streams its tokens from index
	// ResumeFrom; it never starts a request.
	Attach     bool `msgpack:"at,omitempty"`
	ResumeFrom int  `msgpack:"rf,omitempty"`
}

// Progress is one message of the response stream to a Submit. The stream ends
// after a Progress with Finished set; errors are *errkind.Error.
type Progress struct {
	Attempt uint32 `msgpack:"a"`
	// EngineAttempt numbers the dispatcher's attempts to run the request on an engine.
	EngineAttempt uint32   `msgpack:"ea"`
	Engine        string   `msgpack:"e,omitempty"`
	FirstToken    int      `msgpack:"f"`
	Tokens        []string `msgpack:"t,omitempty"`
	Version       uint64   `msgpack:"v"`
	Finished      bool     `msgpack:"d,omitempty"`
	FinishReason  string   `msgpack:"fr,omitempty"`
	CachedTokens  int      `msgpack:"ct,omitempty"`
	// Load is the state of the cell, set on the first and the last message.
	Load *CellDigest `msgpack:"l,omitempty"`
}

// CellDigest is a dispatcher's summary of its cell's state.
type CellDigest struct {
	Cell CellID `msgpack:"c" json:"cell"`
	// Node and Address are the dispatcher's member ID and peer address.
	Node    string `msgpack:"n" json:"node"`
	Address string `msgpack:"a" json:"address"`
	// Sequence increases with each digest of the dispatcher process.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// Engines is the number of engines in service, Slots that of their batch slots.
	Engines int `msgpack:"en" json:"engines"`
	Slots   int `msgpack:"sl" json:"slots"`
	Running int `msgpack:"ru" json:"running"`
	Queued  int `msgpack:"qu" json:"queued"`
	// Models counts the engines in service for each model and version.
	Models []ModelCount `msgpack:"mo,omitempty" json:"models,omitempty"`
}

// ModelCount is the number of engines in service with a model at a version.
type ModelCount struct {
	engine.ModelVersion
	Engines int `msgpack:"e" json:"engines"`
}

// Directive is a command of a model's weight coordinator to a dispatcher: load
// Version on the engines of its cell, at most Concurrent at a time. Epoch is the
// fencing token of the resulting engine orders.
type Directive struct {
	Cell       CellID `msgpack:"c"`
	Model      string `msgpack:"m"`
	Version    uint64 `msgpack:"v"`
	Epoch      int64  `msgpack:"e"`
	Concurrent int    `msgpack:"n"`
}

// DirectiveResult is the response to a Directive: the number of engines in each state.
type DirectiveResult struct {
	Engines        int `msgpack:"en"`
	AtLeastVersion int `msgpack:"al"` // engines that report Version or higher
	// AtVersion counts those of AtLeastVersion that report exactly Version.
	AtVersion int `msgpack:"av"`
	Loading   int `msgpack:"lo"`
	Broken    int `msgpack:"br"`
	// StaleEpoch is set when an engine has seen a higher fencing token.
	StaleEpoch int64 `msgpack:"se,omitempty"`
}

// Empty is a message without fields.
type Empty struct{}
