package node

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/coordinator"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/dispatcher"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/trainerapi"
)

const (
	metricsPath = "/metrics"
	// memberStatusTimeout limits the wait for the members' parts of a status list.
	memberStatusTimeout = 2 * time.Second
)

// buildServers creates the HTTP servers for callers and trainers, and for operators.
func (n *node) buildServers() error {
	callers := httpapi.NewRouter()
	n.components.gateway.Register(callers)
	trainerapi.New(n.components.trainers, n.components.tables).Register(callers)

	admin := httpapi.NewRouter()
	operatorapi.New(operatorapi.Options{
		Tables:         n.components.tables,
		View:           n.components.cluster,
		Ready:          n.ready,
		LastLogContact: n.components.tables.LogContact,
		Engines:        n.engines,
		Steps:          n.steps,
		Drain:          n.requestStop,
		Logger:         n.logger,
	}).Register(admin)
	admin.Handle(metricsPath, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)

	var err error
	if n.callers, err = n.listen("callers", n.config.Listen.Callers, n.listeners.Callers, callers); err != nil {
		return err
	}
	n.admin, err = n.listen("operators", n.config.Listen.Operators, n.listeners.Operators, admin)
	return err
}

// ready returns nil if this node accepts new work, or the reason why not.
func (n *node) ready() error {
	select {
	case <-n.stopRequested:
		return errkind.New(errkind.ShuttingDown, "this node is stopping")
	default:
		return n.components.tables.CheckCurrent()
	}
}

// engines returns the engines of this node's cells or, with all, of all reachable nodes.
func (n *node) engines(ctx context.Context, all bool) ([]api.EngineStatus, error) {
	if !all {
		return n.components.dispatcher.EngineStatuses(), nil
	}
	reports := queryMembers[dispatcher.StatusReport](ctx, n, peer.MethodCellStatus)
	var engines []api.EngineStatus
	for _, report := range reports {
		engines = append(engines, report.Engines...)
	}
	return engines, nil
}

// steps returns the steps of the ledgers owned by all reachable nodes.
func (n *node) steps(ctx context.Context) ([]api.StepStatus, error) {
	var steps []api.StepStatus
	for _, list := range queryMembers[coordinator.StatusList](ctx, n, peer.MethodStepStatus) {
		steps = append(steps, list.Steps...)
	}
	return steps, nil
}

// queryMembers calls a status method on every live member and returns the
// successful responses, in the order of the members.
func queryMembers[Response any](ctx context.Context, n *node, method peer.Method) []Response {
	ctx, cancel := context.WithTimeout(ctx, memberStatusTimeout)
	defer cancel()
	members := n.components.cluster.Members()
	responses := make([]*Response, len(members))
	var group errgroup.Group
	for i, member := range members {
		if member.State == cluster.StateDead {
			continue
		}
		group.Go(func() error {
			response := new(Response)
			if n.components.transport.Call(ctx, member.Address, method, message.Empty{}, response) == nil {
				responses[i] = response
			}
			return nil
		})
	}
	_ = group.Wait() // members that fail are omitted
	var received []Response
	for _, response := range responses {
		if response != nil {
			received = append(received, *response)
		}
	}
	return received
}
