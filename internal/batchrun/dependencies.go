// Package batchrun runs the items of batch jobs on the engines. Jobs bound to no region are run by the leader, the
// others by a node elected in their home regions. Two runners of the same job may overlap for a moment: work is
// duplicated, but only the first recorded result of an item counts.
package batchrun

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
)

// Call is one attempt to run an item on an engine.
type Call struct {
	ItemID string
	// Tenant is the tenant of the item's job; empty for none.
	Tenant  string
	Host    string
	Payload batch.Payload
	// LastEvent is the number of the last event already received; zero for none.
	LastEvent int64
	// Continues reports whether the call continues an earlier run.
	Continues bool
	// MaySend reports whether the call may still be sent. It is called right before the first byte is written,
	// from any goroutine; nil means no restriction.
	MaySend func() bool
}

// Event is one event of an item's stream.
type Event = batchitem.Event

// CallErrorKind is the reason why an engine did not serve a call.
type CallErrorKind uint8

const (
	// NotExecuted: the engine did not run the item; another engine may.
	NotExecuted CallErrorKind = iota + 1
	// WrongEngine: a different engine answered at the address.
	WrongEngine
	// ExecutionFailed: the run failed and counts as an attempt.
	ExecutionFailed
	// NotExecutable: no engine can run the item.
	NotExecutable
	// InvalidResponse: no response, an invalid one, or one that was cut off.
	InvalidResponse
	// NotPermitted: the call was not sent, since MaySend returned false after the connection was established.
	NotPermitted
)

var callErrorKindNames = [...]string{
	NotExecuted: "not_executed", WrongEngine: "wrong_engine", ExecutionFailed: "failed", NotExecutable: "impossible", InvalidResponse: "broken",
	NotPermitted: "held_back",
}

// String returns the kind's name in logs; empty for the zero value.
func (k CallErrorKind) String() string { return callErrorKindNames[k] }

// CallError is the error of a call or stream that an engine did not serve to the end.
type CallError struct {
	Kind CallErrorKind
	// ConnectionLost: the engine closed the connection before the response was complete.
	ConnectionLost bool
	Detail         string
}

func (e *CallError) Error() string { return e.Detail }

// Stream is the response to a call.
type Stream interface {
	// Next returns the next event, or io.EOF after the last event of a complete response.
	Next() (Event, error)
	// Close releases the stream, also before its end.
	Close()
}

// Engines starts streams. Errors are of type *CallError.
type Engines interface {
	Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error)
}

// CrashObserver is notified of engines that closed connections during runs; see crashes.Detector.
type CrashObserver interface {
	// ConnectionLost reports whether the engine crashed.
	ConnectionLost(ctx context.Context, loss crashes.LostConnection) bool
}

// ColdStarts limits the rate at which items start on cold engines; see coldpermits.Granter.
type ColdStarts interface {
	// Available returns how many items may start on a cold engine now.
	Available(to incarnation.ID, cold fleet.Coldness) int
	// Prefetch requests permits in the background for a cold engine that could run waiting items but has no permits
	// left.
	Prefetch(to incarnation.ID)
	// Admit admits one item to a cold engine.
	Admit(
		sender coldpermits.Sender, to incarnation.ID, cold fleet.Coldness,
	) (coldpermits.Permit, time.Duration, coldpermits.Outcome)
	// RecordUnpaced counts an item that starts on an engine that is not known to be cold.
	RecordUnpaced(to incarnation.ID, ratePerSecond float64)
}

// ScoringResult is the result of a scoring call.
type ScoringResult struct {
	// Score is empty if the call failed.
	Score string
	// NoCapacity reports whether no engine had a free slot.
	NoCapacity bool
	// Failures is the number of engines that failed the call, MaxAttempts the limit on them.
	Failures    int
	MaxAttempts int
	// Detail describes why there is no score.
	Detail string
}

// Scorer makes scoring calls.
type Scorer interface {
	// Score makes the scoring call for a tenant's item once, trying as many engines as its route allows.
	Score(ctx context.Context, tenant string, call batch.ScoringCall) ScoringResult
	// Capacity returns the service that would serve the call now and its capacity. For a route to several services, these
	// are the route and the capacity of all of them for calls divided by their weights.
	Capacity(call batch.ScoringCall) (service string, capacity admission.Capacity)
}

// Jobs stores batch jobs; see batchjobs.Service.
type Jobs interface {
	// Observe notifies the observer of all open jobs, and of changes until Unobserve. A registered observer is
	// notified of all open jobs again.
	Observe(observer batch.Observer)
	Unobserve(observer batch.Observer)
	Payloads(ctx context.Context, job batch.JobRecord) ([]batch.Payload, error)
	// Record writes results, SaveProgress partial output of running items. Both return how many of the items, from
	// the first on, were written.
	Record(ctx context.Context, partition int, finished []batchjobs.ItemResult) (int, error)
	SaveProgress(ctx context.Context, partition int, running []batchjobs.ItemProgress) (int, error)
	// SavedTexts returns the saved output by item. On an error it also returns the output that could be read.
	SavedTexts(ctx context.Context, job batch.JobRecord, saved map[int]batch.Progress) (map[int][]byte, error)
	PartitionOf(jobID string) int
}

// RouteOf returns the route of a job's items in the current configuration; found is false if there is none.
type RouteOf func(host, path string) (Route, bool)

// Route holds the settings of a route that apply to its items.
type Route struct {
	Name string
	// Parts are the services of the route; those without a positive weight get no items, unless there is only one.
	Parts         []routes.Part
	MaxAttempts   int
	SingleVersion bool
	Retention     time.Duration
	// ResultsDueAfter is the time from a job's submission until its results are due; zero for none.
	ResultsDueAfter time.Duration
}
