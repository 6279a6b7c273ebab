// Package operatorapi serves operators: health, status, the table and its
// history, and the planned stop of this node.
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

// Paths of the operators' interface.
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
	// PathZones and PathEvacuation are served where the engine list is kept by a platform.
	PathZones      = "/v1/zones"
	PathEvacuation = "/v1/zones/{zone}/evacuation"
)

// Query parameters of the operators' interface.
const (
	QueryRevision = "revision" // PathTable: an earlier revision
	QueryLimit    = "limit"    // PathHistory: the number of revisions
	QueryScope    = "scope"    // PathEngines: ScopeAll or ScopeNode (the default)

	ScopeAll  = "all"
	ScopeNode = "node"
)

// TableStore is what the handlers ask of the table; *tables.Tables implements it.
type TableStore interface {
	// Current returns nil while the table in force may be relied on, else an
	// *errkind.Error: NotReady until this node has caught up with the table.
	Current() error
	// Table returns the table in force.
	Table() *policy.Table
	// TableAt returns the table of an earlier revision, if it is remembered.
	TableAt(revision int64) (*policy.Table, bool)
	// History returns up to limit accepted revisions, the newest first.
	History(limit int) []api.HistoryEntry
	// Propose proposes an edit and waits for the verdict.
	Propose(ctx context.Context, proposal api.TableProposal) (api.TableAccepted, error)
}

// EngineSource lists engines; with all set, those of every reachable node.
type EngineSource func(ctx context.Context, all bool) ([]api.EngineStatus, error)

// StepSource lists the steps of all reachable ledgers.
type StepSource func(ctx context.Context) ([]api.StepStatus, error)

// Options are the sources that the handlers read; all but Logger are needed.
type Options struct {
	Tables TableStore
	View   cluster.View
	// Ready returns nil, or why this node takes no new work (*errkind.Error).
	Ready func() error
	// LastLogContact tells when this node last read to the config stream's end.
	LastLogContact func() time.Time
	Engines        EngineSource
	Steps          StepSource
	// Drain begins the planned stop of this node and returns at once; it may
	// be called more than once.
	Drain  func()
	Logger zerolog.Logger
}

// API serves the operators' interface.
type API struct {
	options Options
}

// New returns an API.
func New(options Options) *API { return &API{options: options} }

// Register adds the routes to a router. Unknown paths and methods are the
// router's own to answer.
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
