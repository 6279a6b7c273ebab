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

// Engines sends all requests of a node to engines.
type Engines interface {
	ingress.Engines
	batchrun.Engines
	weightorders.Engines
	crashes.Prober
}

// ControlChange is one change made by an operator or a trainer: a new routing table, a named weight version, or an
// evacuation. It is empty for irrelevant records.
type ControlChange struct {
	Table        *routes.Table
	Model        string
	ModelVersion int64
	Evacuation   *Evacuation
}

// Evacuation starts or ends the evacuation of a zone, whose engines get no new work.
type Evacuation struct {
	Zone string
	// InForce is false if the evacuation has ended.
	InForce bool
}

// JobReference identifies a batch job in a caller's request.
type JobReference struct {
	// Host is the host that the request was sent to.
	Host        string
	Credentials routes.Credentials
	// ID is the job's name as submitted.
	ID string
}

// CallerService handles the requests of callers. Its methods are safe for concurrent use.
type CallerService interface {
	// Relay answers a live request; see ingress.Relay.
	Relay(w http.ResponseWriter, ctx context.Context, request *ingress.Request) *errkind.Error
	// IsJob reports whether a request submits a batch job by the configuration in force. Paths are escaped, as in the
	// request line.
	IsJob(method, host, path string) bool
	// AuthorizeJob returns an *errkind.Error unless the sender may submit jobs at the host and path.
	AuthorizeJob(host, path string, credentials routes.Credentials) error
	// SubmitJob durably accepts a submitted job.
	SubmitJob(ctx context.Context, credentials routes.Credentials, submission batchjobs.Submission) error
	// Results returns the results of a job from a position on, and waits for new ones for at most the given time.
	Results(ctx context.Context, job JobReference, from int, wait time.Duration) (batchjobs.Results, error)
	// Body returns the request body of an item.
	Body(ctx context.Context, job JobReference, itemID string) ([]byte, error)
	// End durably ends a job.
	End(ctx context.Context, job JobReference) error
	// IsStopping reports whether the node is performing a planned stop.
	IsStopping() bool
	// MaxBodyBytes bounds the size of a request's body. Memory for it is reserved while it is read, by the listener.
	// configured is false while no configuration is known.
	MaxBodyBytes() (limit int64, configured bool)
	// MaxRecordBytes bounds the size of a record of the log.
	MaxRecordBytes() int
	// ReserveResult reserves memory for a response about a batch job until its caller has read it. A refusal has a retry
	// delay.
	ReserveResult(bytes int) (release func(), err error)
	// CallerLimits returns the limits for callers that read slowly.
	CallerLimits() callerwrite.Limits
	// RecordRefusal records an error response.
	RecordRefusal(id string, failure *errkind.Error)
}

// Platform is the interface to the platform that hosts a node: its log, engines, topics, record formats and HTTP
// handlers.
type Platform interface {
	Log() eventlog.Log
	Engines() Engines
	// Duties makes the calls that only one node at a time may make.
	Duties() duties.Platform
	// ControlTopic and EngineTopic name the compacted topics of the control records and of the engine list.
	ControlTopic() string
	EngineTopic() string
	// CrashTopic names the compacted topic of requests during which engines crashed.
	CrashTopic() string
	// VersionTopic names the compacted topic of the cluster version.
	VersionTopic() string
	DecodeControl(record eventlog.KeyedRecord) (ControlChange, error)
	// EncodeEvacuation returns the control record of an evacuation.
	EncodeEvacuation(evacuation Evacuation) eventlog.KeyedRecord
	// DecodeEngine decodes an entry of the engine list. Its error is an *EntryError.
	DecodeEngine(record eventlog.KeyedRecord) (fleet.Engine, error)
	// CallersHandler serves live callers and trainers.
	CallersHandler(node CallerService) http.Handler
	// RequestIDHeader names the header with the ID of a caller's request.
	RequestIDHeader() string
	// OperatorsHandler serves readiness checks and metrics.
	OperatorsHandler(ready func() error, metrics http.Handler) http.Handler
}
