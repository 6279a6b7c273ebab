package batchplan

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// WaitReason is why a waiting item has no engine.
type WaitReason uint8

const (
	// NotWaiting: an engine was found.
	NotWaiting WaitReason = iota
	// NotConsidered: no pass has considered the item yet.
	NotConsidered
	// StateUnknown: the runner does not know the engines or the saved output yet, so that no item is assigned.
	StateUnknown
	// RetryDelay: the delay after a failed run has not passed.
	RetryDelay
	// NoUsableEngine: no engine of the service accepts work, or all of them failed or refused an item recently.
	NoUsableEngine
	// NoVersion: no usable engine has a weight version that may run the item, or that may continue its output.
	NoVersion
	// NoSlot: all engines that may run the item are full.
	NoSlot
	// NoMemory: no engine with a free slot has the memory for the item.
	NoMemory
	// ColdStart: of the engines that may run the item, only cold ones have a free slot, and no start is permitted there.
	ColdStart
	// EngineAvoided: the only engine that could take the item now is the one that it avoids after a failed run.
	EngineAvoided
	// EngineFailing: all engines that may run the item have recently failed.
	EngineFailing
	// EngineReserved: the engines that could take the item are reserved for others that have waited for longer.
	EngineReserved
	// FasterEngine: the item is expected to end sooner if it waits for a faster engine.
	FasterEngine
	waitReasonCount
)

var waitReasonNames = [waitReasonCount]string{
	NotWaiting: "none", NotConsidered: "not_considered", StateUnknown: "state_unknown", RetryDelay: "retry_delay",
	NoUsableEngine: "no_usable_engine", NoVersion: "no_version", NoSlot: "no_slot", NoMemory: "no_memory",
	ColdStart: "cold_start", EngineAvoided: "engine_avoided",
	EngineFailing: "engine_failing", EngineReserved: "engine_reserved", FasterEngine: "faster_engine",
}

// String returns the reason's name in logs and metrics.
func (r WaitReason) String() string { return waitReasonNames[r] }

// maxSoftWait bounds how long an item waits for soft reasons, all of them together. The memory that it may have to wait
// for after that becomes free as running items end.
const maxSoftWait = 2 * time.Second

// isSoft reports whether an engine could take the item at the cost of its speed or of that of others. Such reasons give
// way after maxSoftWait; the others hold for as long as they last.
func (r WaitReason) isSoft() bool {
	switch r {
	case NoMemory, EngineAvoided, EngineFailing, FasterEngine:
		return true
	default:
		return false
	}
}

// WaitReasons returns all reasons for which items wait.
func WaitReasons() []WaitReason {
	var reasons []WaitReason
	for reason := NotConsidered; reason < waitReasonCount; reason++ {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Wait is why an item waits.
type Wait struct {
	Reason WaitReason
	// Since is when the item began to wait for this reason.
	Since time.Time
	// softTime is how long the item has waited for soft reasons, as of its latest pass at consideredAt.
	softTime     time.Duration
	consideredAt time.Time
	// reported is the reason that LongWaits returned last.
	reported WaitReason
}

// WaitingItem is an item that waits for an engine.
type WaitingItem struct {
	Item Item
	Wait Wait
}

// WaitCount describes the items that wait for one reason.
type WaitCount struct {
	Items int
	// Longest is the longest time that one of them has waited, for whatever reasons.
	Longest time.Duration
}

// SetWaitReason records why no waiting item is assigned while Assign is not called.
func (p *Plan) SetWaitReason(now time.Time, reason WaitReason) {
	for key := range p.waiting {
		p.setWaitReason(key, now, reason)
	}
}

func (p *Plan) setWaitReason(key Key, now time.Time, reason WaitReason) {
	wait, found := p.waits[key]
	if found && wait.Reason == reason && !reason.isSoft() {
		return
	}
	if wait.Reason.isSoft() {
		wait.softTime += now.Sub(wait.consideredAt)
	}
	if wait.Reason != reason {
		wait.Reason, wait.Since = reason, now
	}
	wait.consideredAt = now
	p.waits[key] = wait
}

// isOverdue reports whether soft reasons no longer keep a waiting item from an engine.
func (p *Plan) isOverdue(key Key) bool { return p.waits[key].softTime >= maxSoftWait }

// recordDelayed records the items that no pass considers because their retry delay has not passed.
func (p *Plan) recordDelayed(now time.Time, considered int) {
	if considered == len(p.waiting) {
		return
	}
	for key, item := range p.waiting {
		if item.NotBefore.After(now) {
			p.setWaitReason(key, now, RetryDelay)
		}
	}
}

// WaitCounts returns the waiting items by reason.
func (p *Plan) WaitCounts(now time.Time) map[WaitReason]WaitCount {
	counts := make(map[WaitReason]WaitCount)
	for key, item := range p.waiting {
		reason := max(p.waits[key].Reason, NotConsidered)
		count := counts[reason]
		count.Items++
		count.Longest = max(count.Longest, item.waited(now))
		counts[reason] = count
	}
	return counts
}

// LongWaits returns the items that have waited for at least the given time, each once for each reason in a row.
func (p *Plan) LongWaits(now time.Time, atLeast time.Duration) []WaitingItem {
	var long []WaitingItem
	for key, item := range p.waiting {
		wait := p.waits[key]
		if item.waited(now) < atLeast || wait.Reason == wait.reported {
			continue
		}
		wait.reported = wait.Reason
		p.waits[key] = wait
		long = append(long, WaitingItem{Item: item, Wait: wait})
	}
	return long
}

// waited returns how long the item has waited; zero when unknown.
func (item *Item) waited(now time.Time) time.Duration {
	if item.WaitingSince.IsZero() {
		return 0
	}
	return now.Sub(item.WaitingSince)
}

// classReason returns why no engine has a free slot for the items of a class.
func (p *pass) classReason(key class) WaitReason {
	usable, failing, versions, cold := false, false, false, false
	allowFailing := key
	allowFailing.allowsFailing = true
	for i := range p.engines {
		engine := &p.engines[i]
		if engine.Service != key.service {
			continue
		}
		failing = failing || engine.Suspected && p.eligible(engine, allowFailing)
		if !engine.Usable {
			continue
		}
		usable = true
		if !p.eligible(engine, key) {
			continue
		}
		versions = true
		cold = cold || engine.Cold && p.startsLeft[i] <= 0 && p.plan.runningCount[engine.ID] < engine.Slots
	}
	switch {
	case !versions && failing:
		return EngineFailing
	case !usable:
		return NoUsableEngine
	case !versions:
		return NoVersion
	case cold:
		return ColdStart
	default:
		return NoSlot
	}
}

// waitReason returns why none of the candidates could take an item.
func (p *pass) waitReason(item *Item, candidates *candidateHeap) WaitReason {
	if item.SameVersion != 0 && !p.hasEngineFor(item, candidates.class, incarnation.ID{}) {
		return NoVersion
	}
	if candidates.Len() == 0 {
		return p.slotReason(candidates)
	}
	reason := NoSlot
	for _, entry := range candidates.entries {
		engine := &p.engines[entry.engine]
		switch {
		case !engine.mayContinue(item):
		case engine.ID == item.Avoid && p.avoids(item, engine):
			return EngineAvoided
		case p.need(item) > p.freeTokens(engine):
			reason = NoMemory
		case reason == NoSlot && p.isReservedForOther(item, engine):
			reason = EngineReserved
		}
	}
	return reason
}

// blockedReason returns why an item waits that needs more memory than any of the candidates has. It looks at no engine
// unless the item is bound to a version: most items of a busy pass come here.
func (p *pass) blockedReason(item *Item, candidates *candidateHeap) WaitReason {
	switch {
	case item.SameVersion != 0:
		return p.waitReason(item, candidates)
	case candidates.Len() > 0:
		return NoMemory
	default:
		return p.slotReason(candidates)
	}
}

// slotReason returns why no candidate is left.
func (p *pass) slotReason(candidates *candidateHeap) WaitReason {
	if candidates.reason == NotWaiting {
		candidates.reason = p.classReason(candidates.class)
	}
	return candidates.reason
}
