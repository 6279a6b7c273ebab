// Package operatorapi serves the HTTP interface for operators: health, status,
// the table and its history, and draining of this node.
package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// Paths of the operator interface.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/v1/status"
	PathTable   = "/v1/table"
	PathHistory = "/v1/table/history"
	PathNodes   = "/v1/nodes"
	PathEngines = "/v1/engines"
	PathSteps   = "/v1/steps"
	PathDrain   = "/v1/drain"
	// PathZones and PathEvacuation are served only where a platform manages the list of engines.
	PathZones      = "/v1/zones"
	PathEvacuation = "/v1/zones/{zone}/evacuation"
)

// Query parameters of the operator interface.
const (
	QueryRevision = "revision" // PathTable: an earlier revision
	QueryLimit    = "limit"    // PathHistory: the number of revisions
	QueryScope    = "scope"    // PathEngines: ScopeAll or ScopeNode (the default)

	ScopeAll  = "all"
	ScopeNode = "node"
)

// TableStore provides the table and its history; *tables.Tables implements it.
type TableStore interface {
	// CheckCurrent returns nil while the active table is known to be recent, else an
	// *errkind.Error: NotReady until this node has loaded the latest revision.
	CheckCurrent() error
	// Table returns the active table.
	Table() *policy.Table
	// TableAt returns the table of an earlier revision, if it is still retained.
	TableAt(revision int64) (*policy.Table, bool)
	// History returns up to limit accepted revisions, newest first.
	History(limit int) []api.HistoryEntry
	// Propose proposes an edit and waits until it is accepted or rejected.
	Propose(ctx context.Context, proposal api.TableProposal) (api.TableAccepted, error)
}

// EngineSource lists this node's engines or, with all set, those of every reachable node.
type EngineSource func(ctx context.Context, all bool) ([]api.EngineStatus, error)

// StepSource lists the steps of all reachable owners.
type StepSource func(ctx context.Context) ([]api.StepStatus, error)

// Options holds the dependencies of an API; all but Logger are required.
type Options struct {
	Tables TableStore
	View   cluster.View
	// Ready returns nil, or an *errkind.Error with the reason why this node accepts no new work.
	Ready func() error
	// LastLogContact returns when this node last read the config stream to its end.
	LastLogContact func() time.Time
	Engines        EngineSource
	Steps          StepSource
	// Drain starts draining this node and returns immediately; it may be called
	// more than once.
	Drain  func()
	Logger zerolog.Logger
}

// API serves the operator interface.
type API struct {
	options Options
}

// New returns an API.
func New(options Options) *API { return &API{options: options} }

// Register adds the routes to a router.
func (a *API) Register(router *mux.Router) {
	router.HandleFunc(PathHealth, a.getHealth).Methods(http.MethodGet)
	router.HandleFunc(PathReady, a.getReady).Methods(http.MethodGet)
	router.HandleFunc(PathStatus, a.getStatus).Methods(http.MethodGet)
	router.HandleFunc(PathTable, a.getTable).Methods(http.MethodGet)
	router.HandleFunc(PathTable, a.postTable).Methods(http.MethodPost)
	router.HandleFunc(PathHistory, a.getHistory).Methods(http.MethodGet)
	router.HandleFunc(PathNodes, a.getNodes).Methods(http.MethodGet)
	router.HandleFunc(PathEngines, a.getEngines).Methods(http.MethodGet)
	router.HandleFunc(PathSteps, a.getSteps).Methods(http.MethodGet)
	router.HandleFunc(PathDrain, a.postDrain).Methods(http.MethodPost)
}
