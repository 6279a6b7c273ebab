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
	// minDowntime is the shortest downtime of a killed engine.
	minDowntime = 500 * time.Millisecond
)

// wrongAnswers are the engine faults of EngineAnswersWrongly, selected by the fault's target.
var wrongAnswers = []standin.EngineFault{
	standin.RefusesFull, standin.RespondsError, standin.TruncatesResponse, standin.DropsResponse, standin.DuplicatesResponse, standin.RespondsWrongID,
}

// wrongAnswer returns the way in which an engine answers wrongly. The target's remainder selects the engine, its quotient
// the way, so that each engine gets each of them.
func (f Fault) wrongAnswer(engines int) standin.EngineFault {
	return wrongAnswers[f.Target/engines%len(wrongAnswers)]
}

// inject begins each fault at its time. It returns once all have begun or ctx ends; d.wait waits for their
// ends.
func (d *deployment) inject(ctx context.Context, faults []Fault, report func(Fault)) {
	began := time.Now()
	for _, fault := range faults {
		if !retry.Sleep(ctx, time.Until(began.Add(fault.At))) {
			break
		}
		report(fault)
		d.wait.Go(func() { d.apply(ctx, fault) })
	}
}

// apply runs one fault from start to end.
func (d *deployment) apply(ctx context.Context, fault Fault) {
	if d.applyPlacementFault(ctx, fault) || d.applyContentionEvent(ctx, fault) || d.applyOverlapFault(ctx, fault) {
		return
	}
	target := d.nodes[d.leader.selectNode(fault, len(d.nodes))]
	if d.applyNodeFault(ctx, target, fault) {
		return
	}
	slot := d.slots[fault.Target%len(d.slots)]
	switch fault.Kind {
	case NodeKilled:
		d.withDisturbance(target.number, target.kill)
	case NodeStopped:
		end := d.history.beginPlannedStop(target.number)
		target.stop(ctx)
		end()
	case NodeFrozen:
		d.withDisturbance(target.number, func() {
			d.freeze(ctx, target, fault.Duration)
		})
	case AllKilled:
		d.withDisturbance(anyNode, func() {
			for _, each := range d.nodes {
				each.kill()
			}
		})
	case LinkCut, LinkSilent, LinkOneWay, LinkSlow, LinkReset:
		d.withDisturbance(target.number, func() { d.applyLinkFault(ctx, target.link, fault) })
	case EngineCut:
		// A cut delays requests, so that they may arrive after it; no node counts as undisturbed.
		d.withDisturbance(anyNode, func() {
			slot.senderProxy.cut()
			retry.Sleep(ctx, fault.Duration)
			d.history.recordResumption(anyNode)
			d.reopenProxy(slot)
		})
	case StoreForgets:
		d.withDisturbance(anyNode, d.store.trimKeyedTopics)
	case StoreRefuses, StoreSilent, StorePartDown, StoreLosesAnswers, StoreLate, StoreSlow:
		d.withDisturbance(anyNode, func() {
			end := d.store.begin(fault.Kind)
			retry.Sleep(ctx, fault.Duration)
			end()
		})
	case EngineCrashed:
		d.replace(slot, func() { slot.crash(ctx, max(minDowntime, fault.Duration))() })
	case EngineLeaves:
		d.replace(slot, func() { slot.drain(ctx, drainTime) })
	case EngineAnswersWrongly, EngineSilent:
		answerFault := standin.NeverResponds
		if fault.Kind == EngineAnswersWrongly {
			answerFault = fault.wrongAnswer(len(d.slots))
		}
		began := time.Now()
		slot.setAnswerFault(answerFault)
		retry.Sleep(ctx, fault.Duration)
		slot.setAnswerFault(standin.NoFault)
		d.history.update(func() {
			d.history.AnswerFaults = append(d.history.AnswerFaults, TimeSpan{From: began, To: time.Now()})
		})
	}
}

// withDisturbance runs a fault while the node counts as disturbed.
func (d *deployment) withDisturbance(node int, fault func()) {
	end := d.history.beginDisturbance(node)
	defer end()
	fault()
}

func (d *deployment) applyLinkFault(ctx context.Context, link *faultproxy.Link, fault Fault) {
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
	retry.Sleep(ctx, fault.Duration)
	_ = link.Restore()
}

// crashDuringRun crashes the engine of a slot during a run and starts another, unless the engine is being
// replaced.
func (d *deployment) crashDuringRun(ctx context.Context, slot *engineSlot, run standin.Run) {
	if ctx.Err() != nil || !slot.replacing.TryLock() {
		return
	}
	d.history.update(func() {
		d.history.Crashes = append(d.history.Crashes, CrashRecord{Path: run.Path, Body: run.Body, At: time.Now()})
	})
	removeEntry := slot.crash(ctx, minDowntime)
	d.wait.Go(func() {
		defer slot.replacing.Unlock()
		if d.restartsWithSameID {
			d.restartAfterDelay(ctx, slot)
			return
		}
		removeEntry()
		d.startReplacement(slot)
	})
}

// replace ends the engine of a slot and starts another, unless a replacement is under way.
func (d *deployment) replace(slot *engineSlot, end func()) {
	if !slot.replacing.TryLock() {
		return
	}
	defer slot.replacing.Unlock()
	began := time.Now()
	end()
	d.startReplacement(slot)
	d.history.update(func() {
		d.history.Replacements = append(d.history.Replacements, TimeSpan{From: began, To: time.Now()})
	})
}

// reopenProxy makes the proxy of a slot accept connections again.
func (d *deployment) reopenProxy(slot *engineSlot) {
	if err := slot.senderProxy.listen(); err != nil {
		d.nodes[0].recordProblem("an engine's proxy cannot listen again: " + err.Error())
	}
}

// startReplacement starts the next engine of a slot.
func (d *deployment) startReplacement(slot *engineSlot) {
	d.reopenProxy(slot)
	if err := slot.start(); err != nil {
		d.nodes[0].recordProblem("a replacement engine did not start: " + err.Error())
	}
}
