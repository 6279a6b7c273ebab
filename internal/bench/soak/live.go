package soak

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// traffic describes the requests of one live caller.
type traffic struct {
	kind   string
	prefix string
	// tenant is the tenant whose key is sent; empty for tenantLive.
	tenant string
	gap    time.Duration
}

// sendTraffic sends live requests of one kind until ctx ends.
func (d *driver) sendTraffic(ctx context.Context, load traffic) {
	for retry.Sleep(ctx, load.gap) {
		id := d.newID(load.kind + "-")
		d.send(ctx, LiveCall{ID: id, Path: load.prefix + id, Body: "body of " + id, Kind: load.kind, Tenant: load.tenant})
	}
}

// send sends a live request to a random node, with callDeadline unless the call has a deadline, and records the
// response.
func (d *driver) send(ctx context.Context, call LiveCall) LiveCall {
	if call.Deadline == 0 {
		call.Deadline = callDeadline
	}
	return d.sendTo(ctx, d.client, d.randomNode(), call)
}

// sendTo sends a live request to a node and records the response.
func (d *driver) sendTo(ctx context.Context, client *standin.Client, target *node, call LiveCall) LiveCall {
	call.SentAt, call.Resumable = time.Now(), d.overlap && call.Kind == standin.RouteStream
	var err error
	call.Answer, err = client.WithKey(d.keyOf(call.Tenant)).SendLive(
		ctx, target.callerAddress, call.Path, call.ID, call.Body, call.Deadline)
	call.Intact, call.EndedAt = err == nil, time.Now()
	d.history.addCall(call)
	return call
}

// keyOf returns the key of a tenant of live requests; empty stands for tenantLive.
func (d *driver) keyOf(tenant string) string {
	switch tenant {
	case "":
		return settledKey(d.config.Load())
	case tenantPinned:
		return keyPinned
	default:
		return burstKey(tenant)
	}
}
