package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/ingress"
)

// scoringTimeout bounds one attempt of a scoring call.
const scoringTimeout = 1500 * time.Millisecond

var _ batchrun.Scorer = (*node)(nil)

// Score implements batchrun.Scorer. A scoring call is relayed like a live request.
func (n *node) Score(ctx context.Context, tenant string, call batch.ScoringCall) batchrun.ScoringResult {
	began := time.Now()
	sender := routes.Sender{Tenant: tenant, TenantsConfigured: tenant != ""}
	reply, failure := n.relay.Call(ctx, &ingress.Request{
		ID: call.ID, Method: http.MethodPost, Target: call.Path, Path: call.Path, Host: call.Host,
		Header: http.Header{}, Body: call.Body, Sender: &sender, Budget: scoringTimeout, Received: began,
	})
	scoring := batchrun.ScoringResult{Failures: reply.ServerErrors, MaxAttempts: reply.MaxAttempts}
	switch {
	case failure != nil:
		scoring.NoCapacity = failure.Kind == errkind.NoCapacity
		scoring.Detail = failure.Message
	case reply.Status/100 != 2:
		scoring.Detail = http.StatusText(reply.Status)
	default:
		scoring.Score = reply.Stamp
	}
	n.metrics.scored(scoring, time.Since(began))
	return scoring
}

// Capacity implements batchrun.Scorer.
func (n *node) Capacity(call batch.ScoringCall) (string, admission.Capacity) {
	table := n.state.table()
	if table == nil {
		return "", admission.Capacity{}
	}
	route := table.Match(call.Host, call.Path)
	if route == nil || len(route.Parts) == 0 {
		return "", admission.Capacity{}
	}
	name := route.Parts[0].Service
	if len(route.Parts) > 1 {
		name = route.Name
	}
	return name, capacityOf(route.Parts, func(service string) admission.Capacity {
		slots, busy := n.fleet.Capacity(service, time.Now())
		return admission.Capacity{Slots: slots, Busy: busy}
	})
}

// capacityOf returns the capacity of a route for requests that are divided among its parts by their weights: that which the
// part that is used up first allows. Parts without engines are passed over, since the requests for them fail at once.
func capacityOf(parts []routes.Part, of func(service string) admission.Capacity) admission.Capacity {
	if len(parts) == 1 {
		return of(parts[0].Service)
	}
	total := 0
	for _, part := range parts {
		total += part.Weight
	}
	var least admission.Capacity
	for _, part := range parts {
		if part.Weight <= 0 {
			continue
		}
		capacity := of(part.Service)
		if capacity.Slots == 0 {
			continue
		}
		capacity.Slots, capacity.Busy = capacity.Slots*total/part.Weight, capacity.Busy*total/part.Weight
		if least.Slots == 0 || capacity.Slots-capacity.Busy < least.Slots-least.Busy {
			least = capacity
		}
	}
	return least
}
