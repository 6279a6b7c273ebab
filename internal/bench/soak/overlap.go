package soak

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// overlapDraftSlots leaves room for streams beside the items.
	overlapDraftSlots = 8
	overlapEventTime  = 30 * time.Millisecond
	// shortDrainTime is longer than a short item runs and shorter than a long one may.
	shortDrainTime = 3 * time.Second
	// One in overlapLongOneIn items is long.
	overlapLongOneIn = 12
	// keepingGap is the interval between two requests of one caller that keeps its connection.
	keepingGap = 60 * time.Millisecond
)

func (s *engineSlot) useOverlapOptions() {
	if s.service == standin.ServiceDrafts {
		s.slots, s.eventTime = overlapDraftSlots, overlapEventTime
	}
}

// applyOverlapFault runs a fault that only schedules of overlapping faults have. It returns false if it is of another
// kind. Configurations are left to the driver.
func (d *deployment) applyOverlapFault(ctx context.Context, fault Fault) bool {
	slot := d.slots[fault.Target%len(d.slots)]
	switch fault.Kind {
	case EngineHeld:
		d.holdEngine(ctx, slot, fault.Duration)
	case EngineLeavesSoon:
		d.replace(slot, func() { slot.drain(ctx, shortDrainTime) })
	case ClientCrowd:
		d.holdCrowd(ctx, d.nodes[fault.Target%len(d.nodes)], fault.Duration)
	default:
		return false
	}
	return true
}

// holdEngine holds back the bytes to and from an engine, unless it is being replaced. No node counts as disturbed: what
// senders have given up must not arrive at the end.
func (d *deployment) holdEngine(ctx context.Context, slot *engineSlot, duration time.Duration) {
	if !slot.replacing.TryLock() {
		return
	}
	defer slot.replacing.Unlock()
	release := slot.senderProxy.gate.hold()
	retry.Sleep(ctx, duration)
	d.history.recordResumption(anyNode)
	release()
}

// startKeepingCallers starts callers that keep a connection to one node each, until the node's process is gone, and then
// open the next.
func (d *driver) startKeepingCallers(ctx context.Context) {
	for _, target := range d.deployment.nodes {
		for _, kind := range []traffic{
			{kind: standin.RouteSafe, prefix: standin.PrefixLookup}, {kind: standin.RouteUnsafe, prefix: prefixPermit},
			{kind: standin.RouteStream, prefix: prefixStream}, {kind: standin.RouteStream, prefix: prefixStream},
		} {
			client := standin.NewKeepingClient(callTimeout)
			d.callers.Go(func() { d.keepSending(ctx, client, target, kind) })
		}
	}
}

func (d *driver) keepSending(ctx context.Context, client *standin.Client, target *node, load traffic) {
	for retry.Sleep(ctx, keepingGap) {
		id := d.newID(load.kind + "-")
		d.sendTo(ctx, client, target, LiveCall{
			ID: id, Path: load.prefix + id, Body: "body of " + id, Kind: load.kind, Deadline: callDeadline,
			Node: target.number, KeptConnection: true,
		})
	}
}
