// Package message defines the typed messages that corkpulley processes send to
// each other (msgpack over the peer transport). Durations are nanoseconds.
package message

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// CellID names one cell: up to CellSize engines of one pool in one zone, with
// one queue in front of them.
type CellID struct {
	Zone  string `msgpack:"z" json:"zone"`
	Pool  string `msgpack:"p" json:"pool"`
	Index int    `msgpack:"i" json:"index"`
}

// CellSize is the largest number of engines that one cell is meant to hold.
const CellSize = 16

// Submit asks a dispatcher to run one request on its cell and to stream the
// answer back as Progress messages.
type Submit struct {
	// RequestID is unique over all requests; Attempt numbers its submissions
	// to dispatchers, from 1 (a dispatcher that already has the pair attaches
	// to it rather than run it again).
	RequestID string `msgpack:"id"`
	Attempt   uint32 `msgpack:"a"`
	Cell      CellID `msgpack:"c"`
	Service   string `msgpack:"s"`
	// TableRevision is the revision under which the sender read the row.
	TableRevision int64  `msgpack:"tr"`
	Model         string `msgpack:"m"`
	// MinVersion: engines below it may not run the request; 0 accepts any.
	MinVersion uint64   `msgpack:"mv"`
	Prompt     string   `msgpack:"p"`
	Generated  []string `msgpack:"g,omitempty"`
	MaxTokens  int      `msgpack:"mt"`
	// ExpectedTokens is the learnt length of the whole answer; 0 when unknown.
	ExpectedTokens int     `msgpack:"et,omitempty"`
	Seed           int64   `msgpack:"sd"`
	Temperature    float64 `msgpack:"t"`
	Priority       int     `msgpack:"pr"`
	// Urgent raises the request among those of its own priority (stragglers).
	Urgent     bool `msgpack:"u,omitempty"`
	Repeatable bool `msgpack:"r"`
	// Continued: an earlier attempt of the request may have run in part, so it
	// goes before those of its own service that have not begun.
	Continued bool `msgpack:"cn,omitempty"`
	// QueueTimeout bounds the wait in the dispatcher's queue.
	QueueTimeout time.Duration `msgpack:"q"`
	// ResumeFrom, when Attach is set: re-attach to a running request, wanting
	// tokens from this index on; never starts a request.
	Attach     bool `msgpack:"at,omitempty"`
	ResumeFrom int  `msgpack:"rf,omitempty"`
}

// Progress is one message of a dispatcher's answer stream. The stream ends
// cleanly after a Progress with Finished set; errors are *errkind.Error.
type Progress struct {
	Attempt uint32 `msgpack:"a"`
	// EngineAttempt counts the dispatcher's own sends to engines.
	EngineAttempt uint32   `msgpack:"ea"`
	Engine        string   `msgpack:"e,omitempty"`
	FirstToken    int      `msgpack:"f"`
	Tokens        []string `msgpack:"t,omitempty"`
	Version       uint64   `msgpack:"v"`
	Finished      bool     `msgpack:"d,omitempty"`
	FinishReason  string   `msgpack:"fr,omitempty"`
	CachedTokens  int      `msgpack:"ct,omitempty"`
	// Load is the cell's state, carried on the first and the last message.
	Load *CellDigest `msgpack:"l,omitempty"`
}

// CellDigest is what a dispatcher tells about its cell.
type CellDigest struct {
	Cell CellID `msgpack:"c" json:"cell"`
	// Node and Address are the dispatcher's member ID and peer address.
	Node    string `msgpack:"n" json:"node"`
	Address string `msgpack:"a" json:"address"`
	// Sequence rises with each digest of this dispatcher process.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// Engines counts the engines in service; Slots their batch slots.
	Engines int `msgpack:"en" json:"engines"`
	Slots   int `msgpack:"sl" json:"slots"`
	Running int `msgpack:"ru" json:"running"`
	Queued  int `msgpack:"qu" json:"queued"`
	// Models gives for each model the engines in service at each version.
	Models []ModelCount `msgpack:"mo,omitempty" json:"models,omitempty"`
}

// ModelCount counts the engines in service that hold a model at a version.
type ModelCount struct {
	engine.ModelVersion
	Engines int `msgpack:"e" json:"engines"`
}

// Directive is what the weight coordinator of a model tells a dispatcher: bring
// the engines of its cell to Version, at most Concurrent at once. The epoch is
// the fencing token of every engine order that follows from it.
type Directive struct {
	Cell       CellID `msgpack:"c"`
	Model      string `msgpack:"m"`
	Version    uint64 `msgpack:"v"`
	Epoch      int64  `msgpack:"e"`
	Concurrent int    `msgpack:"n"`
}

// DirectiveResult answers a Directive with the cell's progress.
type DirectiveResult struct {
	Engines int `msgpack:"en"`
	AtLeast int `msgpack:"al"` // engines that report Version or higher
	// AtVersion counts those of AtLeast that report exactly Version.
	AtVersion int `msgpack:"av"`
	Loading   int `msgpack:"lo"`
	Broken    int `msgpack:"br"`
	// StaleEpoch is set when an engine has seen a higher fence.
	StaleEpoch int64 `msgpack:"se,omitempty"`
}

// Empty is a message without content.
type Empty struct{}
