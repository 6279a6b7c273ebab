// Package batchrun runs the items of batch jobs at the engines. The leader runs it for the jobs that are
// bound to no region, an elected node at home for those that are. A second one for a moment costs work and
// no promise, since the first recorded result of an item wins.
package batchrun

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/crashes"
)

// Call is one try of an item at an engine.
type Call struct {
	ItemID string
	// Tenant is the tenant of the item's job; empty for none.
	Tenant  string
	Host    string
	Payload batch.Payload
	// After is the number of the last event that is already there; zero for none.
	After int64
	// Started is true when the stream is a continuation.
	Started bool
	// MayLeave tells whether the call may still leave this node. It is asked right before its first
	// byte does, in any goroutine; nil sets no limit.
	MayLeave func() bool
}

// fingerprint returns the fingerprint of the item's request.
func (c Call) fingerprint() quarantine.Fingerprint {
	return quarantine.Request{
		Tenant: c.Tenant, Method: http.MethodPost, Host: c.Host, Target: c.Payload.Path, Body: c.Payload.Body,
	}.Fingerprint()
}

// Event is one event of an item's stream.
type Event = batchitem.Event

// Refusal is how an engine did not serve a call.
type Refusal uint8

// The refusals.
const (
	// NotExecuted: the engine did not run the item, another may.
	NotExecuted Refusal = iota + 1
	// WrongEngine: another engine answers at the address.
	WrongEngine
	// Failed: the run failed, it counts as an attempt.
	Failed
	// Impossible: the item can never be run.
	Impossible
	// Broken: no answer, or none that can be read.
	Broken
	// HeldBack: the call was not permitted to leave when its connection was there.
	HeldBack
)

var refusalNames = [...]string{
	NotExecuted: "not_executed", WrongEngine: "wrong_engine", Failed: "failed", Impossible: "impossible", Broken: "broken",
	HeldBack: "held_back",
}

// String returns the refusal as it stands in logs; empty for none.
func (r Refusal) String() string { return refusalNames[r] }

// RefusedError is the error of a call that gave no stream.
type RefusedError struct {
	Refusal Refusal
	// ConnectionLost: the engine ended the connection before its answer was whole.
	ConnectionLost bool
	Detail         string
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return e.Detail }

// Stream is the answer to a call.
type Stream interface {
	// Next returns the next event; io.EOF after the last one of a whole answer.
	Next() (Event, error)
	// Close ends the stream, whole or not.
	Close()
}

// Engines starts streams. An error is a *RefusedError.
type Engines interface {
	Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error)
}

// Guard keeps items under which engines ended away from the others; see crashes.Guard.
type Guard interface {
	// ConnectionLost tells whether the engine has ended under the item.
	ConnectionLost(ctx context.Context, loss crashes.Loss) bool
	// Standing returns what is known of an item.
	Standing(fingerprint func() quarantine.Fingerprint) quarantine.Standing
	// Answered notes that an engine ran the item to a good end.
	Answered(fingerprint func() quarantine.Fingerprint)
}

// ColdStarts admits items to engines that count as cold; see coldpermits.Decider.
type ColdStarts interface {
	// Room returns how many items may start at a cold engine now.
	Room(to incarnation.ID, cold fleet.Coldness) int
	// Want says that items wait which a cold engine without room could run.
	Want(to incarnation.ID)
	// Admit admits one item to a cold engine.
	Admit(
		sender coldpermits.Sender, to incarnation.ID, cold fleet.Coldness,
	) (coldpermits.Permit, time.Duration, coldpermits.Outcome)
	// Note counts an item at an engine that is not known to be cold.
	Note(to incarnation.ID, ratePerSecond float64)
}

// Scoring is how a scoring call ended.
type Scoring struct {
	// Score is the score; empty when there is none.
	Score string
	// Refused is true when no engine had a place.
	Refused bool
	// Failures counts the engines that ran the call and failed it; MaxAttempts is
	// how many may.
	Failures    int
	MaxAttempts int
	// Detail says why there is no score.
	Detail string
}

// Scorer makes scoring calls.
type Scorer interface {
	// Score makes the call of a tenant's item once, at as many engines as its route allows.
	Score(ctx context.Context, tenant string, call batch.ScoringCall) Scoring
	// Places names the service that would answer the call now, and its places.
	Places(call batch.ScoringCall) (service string, places admission.Places)
}

// Jobs is what the runner needs of the kept jobs.
type Jobs interface {
	// Observe tells the observer of all open jobs, and of changes until Unobserve. One that observes
	// already is told of all open jobs again.
	Observe(observer batch.Observer)
	Unobserve(observer batch.Observer)
	Payloads(ctx context.Context, job batch.JobRecord) ([]batch.Payload, error)
	// Record and Keep return how many of the items, from the first on, were written.
	Record(ctx context.Context, partition int, finished []batchjobs.FinishedItem) (int, error)
	Keep(ctx context.Context, partition int, running []batchjobs.RunningItem) (int, error)
	// KeptTexts returns the texts of kept progress by item; with an error those that
	// could be read.
	KeptTexts(ctx context.Context, job batch.JobRecord, kept map[int]batch.Progress) (map[int][]byte, error)
	PartitionOf(jobID string) int
}

// RouteOf tells how the items of a job are run now; found is false when the
// configuration has no route for them.
type RouteOf func(host, path string) (Route, bool)

// Route is what the runner needs of a route.
type Route struct {
	Service       string
	MaxAttempts   int
	SingleVersion bool
	Retention     time.Duration
	// EngineTokens is the memory of one engine, in tokens; zero when unknown.
	EngineTokens int
}
