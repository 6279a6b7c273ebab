package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/duties"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/ingress"
	"github.com/corkpulley/corkpulley/internal/weightorders"
)

// Engines calls the model engines for all roles.
type Engines interface {
	ingress.Engines
	batchrun.Engines
	weightorders.Engines
	crashes.Prober
}

// ControlChange is one change by the operator or a trainer: a new table, a named weight
// version, or an evacuation. All are empty for records of no interest.
type ControlChange struct {
	Table        *routes.Table
	Model        string
	ModelVersion int64
	Evacuation   *Evacuation
}

// Evacuation says whether the engines of a zone are to get no new work.
type Evacuation struct {
	Zone string
	// InForce is false once the operator has taken the evacuation back.
	InForce bool
}

// JobName is how a caller names a batch job.
type JobName struct {
	// Host is that of the call.
	Host        string
	Credentials routes.Credentials
	// ID is the name that its submitter gave the job.
	ID string
}

// Callers is what a node does for those who call it.
type Callers interface {
	// Relay answers a live request; see ingress.Relay.
	Relay(w http.ResponseWriter, ctx context.Context, request *ingress.Request) *errkind.Error
	// TakesBatch tells whether a batch job is handed in under the path.
	TakesBatch(host, path string) bool
	// Accept keeps a job that was handed in on its host and path.
	Accept(ctx context.Context, credentials routes.Credentials, submission batchjobs.Submission) error
	Results(ctx context.Context, job JobName, from int, wait time.Duration) (batchjobs.Results, error)
	Body(ctx context.Context, job JobName, itemID string) ([]byte, error)
	End(ctx context.Context, job JobName) error
	// Stopping is true during the planned stop.
	Stopping() bool
	// MaxBodyBytes and MaxHeaderBytes bound what a client may send.
	MaxBodyBytes() int64
	MaxHeaderBytes() int
	// HoldBody and HoldResult hold memory of the node for a body that is being received, and for an answer about
	// a batch job until its caller has taken it. Where none is left the error says when to come back.
	HoldBody() *HeldBody
	HoldResult(bytes int) (release func(), err error)
	// CallerLimits bounds what is held for callers that read slowly.
	CallerLimits() callerwrite.Limits
	// Refused is told of each error answer.
	Refused(id string, failure *errkind.Error)
}

// Platform is what a node needs of the platform that hosts it: names, formats
// and calls.
type Platform interface {
	Log() eventlog.Log
	Engines() Engines
	// Duties makes the calls that one node at a time makes.
	Duties() duties.Platform
	// ControlTopic and EngineTopic name the compacted topics with the operator's
	// records and the engine list.
	ControlTopic() string
	EngineTopic() string
	// CrashTopic names the compacted topic with the requests under which engines ended.
	CrashTopic() string
	// VersionTopic names the compacted topic with the cluster version.
	VersionTopic() string
	DecodeControl(record eventlog.KeyedRecord) (ControlChange, error)
	// EncodeEvacuation returns the record of the control topic that says so.
	EncodeEvacuation(evacuation Evacuation) eventlog.KeyedRecord
	// DecodeEngine reads an entry of the engine list; its error is an *EntryError.
	DecodeEngine(record eventlog.KeyedRecord) (fleet.Engine, error)
	// CallersHandler serves live callers and trainers.
	CallersHandler(node Callers) http.Handler
	// OperatorsHandler serves the question whether the node is ready, and metrics.
	OperatorsHandler(ready func() error, metrics http.Handler) http.Handler
}
