package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/dispatcher"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

const (
	// maxLogContactAge is the maximum age of the last log contact at which the
	// status reports the log as reachable.
	maxLogContactAge = 5 * time.Second
	// peerQueryTimeout bounds the queries to other nodes for one response.
	peerQueryTimeout = 5 * time.Second
)

// stateBody is the response body of PathHealth, PathReady and PathDrain.
type stateBody struct {
	State string `json:"state"`
}

// getHealth responds 200 as long as the process serves HTTP.
func (a *API) getHealth(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, stateBody{State: "ok"})
}

// getReady responds 200 while this node accepts new work.
func (a *API) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.options.Ready(); err != nil {
		httpapi.WriteError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, stateBody{State: "ready"})
}

// getStatus responds even when steps cannot be listed or this node has not
// loaded the latest table revision (the revision is then omitted), so that
// operators can use it during failures.
func (a *API) getStatus(w http.ResponseWriter, r *http.Request) {
	status := api.Status{
		Node:          nodeStatus(a.options.View.Self()),
		Ready:         true,
		TableRevision: a.revision(),
		LogReachable:  time.Since(a.options.LastLogContact()) < maxLogContactAge,
		Members:       a.members(),
		Cells:         a.cells(),
		Steps:         []api.StepStatus{},
	}
	if err := a.options.Ready(); err != nil {
		status.Ready = false
		status.NotReadyCause = err.Error()
	}
	// The cluster view of this node may lag behind its active revision.
	status.Node.TableRevision = status.TableRevision
	ctx, cancel := context.WithTimeout(r.Context(), peerQueryTimeout)
	defer cancel()
	steps, err := a.options.Steps(ctx)
	if err != nil {
		a.options.Logger.Warn().Err(err).Msg("listing steps for the status failed")
	}
	status.Steps = append(status.Steps, steps...)
	httpapi.WriteJSON(w, http.StatusOK, status)
}

func (a *API) getNodes(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, a.members())
}

func (a *API) getEngines(w http.ResponseWriter, r *http.Request) {
	scope := r.URL.Query().Get(QueryScope)
	if scope != "" && scope != ScopeAll && scope != ScopeNode {
		httpapi.WriteError(w, errkind.New(errkind.InvalidRequest,
			"scope is %q, expected %s or %s", scope, ScopeAll, ScopeNode))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerQueryTimeout)
	defer cancel()
	engines, err := a.options.Engines(ctx, scope == ScopeAll)
	if err != nil {
		httpapi.WriteError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, append([]api.EngineStatus{}, engines...))
}

func (a *API) getSteps(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), peerQueryTimeout)
	defer cancel()
	steps, err := a.options.Steps(ctx)
	if err != nil {
		httpapi.WriteError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, append([]api.StepStatus{}, steps...))
}

// postDrain starts draining and responds before it is done: the node finishes
// its requests in flight and then exits.
func (a *API) postDrain(w http.ResponseWriter, r *http.Request) {
	a.options.Logger.Info().Str("remote", r.RemoteAddr).Msg("drain requested")
	a.options.Drain()
	httpapi.WriteJSON(w, http.StatusAccepted, stateBody{State: string(cluster.StateLeaving)})
}

func (a *API) members() []api.NodeStatus {
	members := a.options.View.Members()
	self := a.options.View.Self().ID
	statuses := make([]api.NodeStatus, 0, len(members))
	for _, member := range members {
		status := nodeStatus(member)
		if member.ID == self {
			status.TableRevision = a.revision()
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func nodeStatus(member cluster.Member) api.NodeStatus {
	status := api.NodeStatus{
		ID:            member.ID,
		Zone:          member.Zone,
		Address:       member.Address,
		State:         string(member.State),
		TableRevision: member.TableRevision,
	}
	for _, owned := range member.Owned {
		status.Owned = append(status.Owned, api.OwnedStream{Stream: owned.Stream, Epoch: owned.Epoch})
	}
	return status
}

func (a *API) cells() []api.CellStatus {
	digests := a.options.View.Cells()
	statuses := make([]api.CellStatus, 0, len(digests))
	for _, digest := range digests {
		statuses = append(statuses, dispatcher.CellStatus(digest))
	}
	return statuses
}
