package soak

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	linkDelay = 120 * time.Millisecond
	// downTime is how long a killed engine stays away at least.
	downTime = 500 * time.Millisecond
)

// wrongAnswers are what an engine may answer wrongly, chosen by the target.
var wrongAnswers = []standin.EngineFault{
	standin.Full, standin.Fails, standin.CutOff, standin.AnswerLost, standin.Surplus, standin.Foreign,
}

// inject strikes with each fault at its time, and returns once all are over.
func (d *deployment) inject(ctx context.Context, faults []Fault, report func(Fault)) {
	began := time.Now()
	for _, fault := range faults {
		if !retry.Sleep(ctx, time.Until(began.Add(fault.At))) {
			break
		}
		report(fault)
		d.wait.Go(func() { d.strike(ctx, fault) })
	}
}

// strike is one fault from its begin to its end.
func (d *deployment) strike(ctx context.Context, fault Fault) {
	if d.strikePlacement(ctx, fault) {
		return
	}
	target := d.nodes[d.leader.aim(fault, len(d.nodes))]
	if d.strikeNode(ctx, target, fault) {
		return
	}
	at := d.places[fault.Target%len(d.places)]
	switch fault.Kind {
	case NodeKilled:
		d.disturbed(target.number, target.kill)
	case NodeStopped:
		d.disturbed(target.number, func() { target.stop(ctx) })
	case NodeFrozen:
		d.disturbed(target.number, func() {
			d.freeze(ctx, target, fault.For)
		})
	case AllKilled:
		d.disturbed(anyNode, func() {
			for _, each := range d.nodes {
				each.kill()
			}
		})
	case LinkCut, LinkSilent, LinkOneWay, LinkSlow, LinkReset:
		d.disturbed(target.number, func() { d.strikeLink(ctx, target.link, fault) })
	case EngineCut:
		// Requests that a cut holds up arrive late, so no node counts as in touch.
		d.disturbed(anyNode, func() {
			at.front.cut()
			retry.Sleep(ctx, fault.For)
			d.history.resume(anyNode)
			d.openFront(at)
		})
	case StoreForgets:
		d.disturbed(anyNode, d.store.forget)
	case StoreRefuses, StoreSilent, StorePartDown, StoreLoses, StoreLate, StoreSlow:
		d.disturbed(anyNode, func() {
			end := d.store.begin(fault.Kind)
			retry.Sleep(ctx, fault.For)
			end()
		})
	case EngineCrashed:
		d.replace(at, func() { at.crash(ctx, max(downTime, fault.For))() })
	case EngineLeaves:
		d.replace(at, func() { at.leave(ctx) })
	case EngineAnswers, EnginesMute:
		wrong := standin.Silent
		if fault.Kind == EngineAnswers {
			wrong = wrongAnswers[fault.Target%len(wrongAnswers)]
		}
		at.spoil(wrong)
		retry.Sleep(ctx, fault.For)
		at.spoil(standin.Works)
	}
}

// disturbed runs a fault during which a node is not in touch.
func (d *deployment) disturbed(node int, fault func()) {
	end := d.history.disturb(node)
	defer end()
	fault()
}

func (d *deployment) strikeLink(ctx context.Context, link *faultproxy.Link, fault Fault) {
	switch fault.Kind {
	case LinkReset:
		_ = link.Reset()
		return
	case LinkSilent:
		_ = link.Stall()
	case LinkOneWay:
		_ = link.StallOneWay()
	case LinkSlow:
		_ = link.SetLatency(linkDelay)
	default:
		link.Cut()
	}
	retry.Sleep(ctx, fault.For)
	_ = link.Restore()
}

// crashUnder ends the engine of a place under a run, unless it is being replaced, and has
// another one start.
func (d *deployment) crashUnder(ctx context.Context, at *place, run standin.Run) {
	if ctx.Err() != nil || !at.replacing.TryLock() {
		return
	}
	d.history.update(func() {
		d.history.Ends = append(d.history.Ends, EndSeen{Path: run.Path, Body: run.Body, At: time.Now()})
	})
	rest := at.crash(ctx, downTime)
	d.wait.Go(func() {
		defer at.replacing.Unlock()
		if d.restartsUnderID {
			d.restartSoon(ctx, at)
			return
		}
		rest()
		d.startAgain(at)
	})
}

// replace ends the engine of a place, unless that is under way, and starts another.
func (d *deployment) replace(at *place, end func()) {
	if !at.replacing.TryLock() {
		return
	}
	defer at.replacing.Unlock()
	end()
	d.startAgain(at)
}

// openFront has a place take connections again.
func (d *deployment) openFront(at *place) {
	if err := at.front.listen(); err != nil {
		d.nodes[0].note("an engine takes no connections again: " + err.Error())
	}
}

// startAgain starts the next engine of a place.
func (d *deployment) startAgain(at *place) {
	d.openFront(at)
	if err := at.start(); err != nil {
		d.nodes[0].note("an engine did not start again: " + err.Error())
	}
}
