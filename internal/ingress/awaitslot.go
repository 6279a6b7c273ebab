package ingress

import (
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// awaitSlot waits while all engines that may run the request are known to be full. An error is that of a request which
// must not be sent, and which no engine has run.
//
// Requests that this process makes itself do not wait here: their senders limit and repeat them. Nor do requests that
// an engine may have run, since they can't be refused as not executed any more.
func (x *exchange) awaitSlot() *errkind.Error {
	x.releaseSlot()
	if x.relay.live == nil || x.request.Sender != nil || x.executions > 0 {
		return nil
	}
	for {
		entry, waited, failure := x.wait()
		if failure != nil {
			return failure
		}
		x.slot = entry
		if !waited {
			return nil
		}
		moved, failure := x.checkAfterWait()
		if failure != nil {
			x.releaseSlot()
			return failure
		}
		if !moved {
			x.logWait(entry, QueueWaited)
			return nil
		}
		x.releaseSlot()
	}
}

// wait offers the request to the queue and waits until it is granted a slot, or until it must not be sent.
func (x *exchange) wait() (entry *livequeue.Entry, waited bool, failure *errkind.Error) {
	live, owner := x.relay.live, &waiter{query: x.engineQuery(), settled: make(chan struct{})}
	entry, first := live.offer(x.queueRequest(owner))
	switch first.state {
	case livequeue.Granted:
		return entry, false, nil
	case livequeue.Refused:
		return nil, false, x.queueRefusal(entry, owner.retryAfter)
	}
	x.waitsSince = entry.Arrived
	moved, failure := x.awaitGrant(entry, first.reassessAt)
	if failure != nil {
		return nil, false, failure
	}
	if moved {
		entry, _, failure = x.wait()
		return entry, true, failure
	}
	entry.Basis = first.basis
	if x.admittedCrashes < quarantine.RequestLimit && x.guard.Status(x.fingerprintOf).Crashes >= quarantine.RequestLimit {
		// Engines ended under the same request, sent by others, since this one was admitted.
		if failure := x.guard.Admit(x.ctx, x.fingerprintOf); failure != nil {
			x.withdraw(entry, QueueQuarantined)
			return nil, false, failure
		}
	}
	return entry, true, nil
}

// awaitGrant waits until the entry is granted a slot. moved is true if the request must be offered again instead.
func (x *exchange) awaitGrant(entry *livequeue.Entry, reassessAt time.Time) (moved bool, failure *errkind.Error) {
	live, owner := x.relay.live, entry.Owner.(*waiter)
	timer := time.NewTimer(time.Until(reassessAt))
	defer timer.Stop()
	for {
		state, changed, stopping := live.stateOf(entry)
		switch {
		case state == livequeue.Refused:
			return false, x.queueRefusal(entry, owner.retryAfter)
		case state != livequeue.Waiting:
			return false, nil
		case stopping:
			x.withdraw(entry, QueueStopping)
			return false, errkind.New(errkind.ShuttingDown, "this node is stopping")
		case x.isOver():
			x.withdraw(entry, x.endDecision())
			return false, x.timeoutFailure()
		}
		// Checked after changed was read, so that no change is missed.
		if moved, failure = x.reroute(); failure != nil {
			x.withdraw(entry, QueueConfigurationChanged)
			return false, failure
		}
		if moved {
			live.abandon(entry)
			return true, nil
		}
		select {
		case <-owner.settled:
		case <-changed:
		case <-x.ctx.Done():
		case <-timer.C:
			timer.Reset(time.Until(live.reassess(entry)))
		}
	}
}

// isOver reports whether the caller left or the deadline has passed, also while the machine was suspended, which ctx
// and timers do not count.
func (x *exchange) isOver() bool { return x.ctx.Err() != nil || !x.endsAt.After(x.relay.now()) }

// endDecision returns the decision about a waiting request that is over.
func (x *exchange) endDecision() QueueDecision {
	if x.callerLeft() {
		return QueueCallerLeft
	}
	return QueueHopeless
}

// withdraw takes a request out of the queue and logs why.
func (x *exchange) withdraw(entry *livequeue.Entry, decision QueueDecision) {
	x.relay.live.abandon(entry)
	x.logWait(entry, decision)
}

// checkAfterWait checks a request that waited against the state in force. moved is true if it must be offered again.
func (x *exchange) checkAfterWait() (moved bool, failure *errkind.Error) {
	known := x.relay.options.Gate.AwaitEnginesKnown(x.ctx)
	if x.isOver() {
		x.logWait(x.slot, x.endDecision())
		return false, x.timeoutFailure()
	}
	if !known {
		x.logWait(x.slot, QueueEnginesUnknown)
		return false, x.staleStateFailure()
	}
	if moved, failure = x.reroute(); failure != nil {
		x.logWait(x.slot, QueueConfigurationChanged)
	}
	return moved, failure
}

// reroute routes a request that no engine has run by the configuration in force, if that is a newer one. moved is true
// if the queue must place it again: its service, sender, priority or homes changed.
func (x *exchange) reroute() (moved bool, failure *errkind.Error) {
	table := x.relay.options.Table()
	if table == nil || table.Version <= x.table.Version {
		return false, nil
	}
	route := table.Match(x.request.Host, x.request.Path)
	if route == nil {
		return false, errkind.New(errkind.UnknownService, "no route any more for %s%s", x.request.Host, x.request.Path)
	}
	if route.AcceptsJob(x.request.Method) {
		return false, becameBatchFailure(route)
	}
	sender, failure := x.relay.senderOf(x.callerCtx, table, route, x.request)
	if failure != nil {
		return false, failure
	}
	service := x.service
	leadsTo := func(part routes.Part) bool { return part.Service == service && part.Weight > 0 }
	if !slices.ContainsFunc(route.Parts, leadsTo) {
		service = x.relay.splitter.Pick(route)
	}
	moved = service != x.service || sender != x.sender || x.flow() != flowOf(sender, route)
	x.table, x.route, x.sender, x.service = table, route, sender, service
	return moved, nil
}

// flow returns the share that the request counts towards.
func (x *exchange) flow() string { return flowOf(x.sender, x.route) }

func flowOf(sender routes.Sender, route *routes.Route) string {
	if sender.Tenant != "" {
		return "tenant " + sender.Tenant
	}
	return "route " + route.Name
}

// queueRequest returns the request as offered to the queue.
func (x *exchange) queueRequest(owner *waiter) livequeue.Request {
	tried := slices.Sorted(slices.Values(owner.query.Tried))
	return livequeue.Request{
		Service: x.service, Flow: x.flow(), Priority: x.sender.Priority, Bytes: int64(len(x.request.Body)),
		Class:    owner.query.Regions.String() + "|" + strings.Join(tried, ","),
		Regions:  owner.query.Regions,
		Deadline: time.Now().Add(x.endsAt.Sub(x.relay.now())), WaitsSince: x.waitsSince,
		Refusals: len(x.refusedFull), Owner: owner,
	}
}

// queueRefusal logs a refusal by the queue and returns its error.
func (x *exchange) queueRefusal(entry *livequeue.Entry, retryAfter time.Duration) *errkind.Error {
	var failure *errkind.Error
	decision := QueueRefused
	switch entry.Reason {
	case livequeue.TimedOut:
		failure = errkind.New(errkind.QueueTimeout, "no engine of %s had a free slot for %s",
			x.service, time.Since(entry.Arrived).Round(time.Millisecond))
	case livequeue.QueueFull:
		failure = errkind.New(errkind.QueueFull, "the engines of %s and the queue for them are full", x.service)
	case livequeue.Evicted:
		decision = QueueEvicted
		failure = errkind.New(errkind.QueueFull,
			"the queue for the engines of %s is full, and its sender is furthest above its share", x.service)
	default:
		decision = QueueHopeless
		failure = errkind.New(errkind.NoCapacity,
			"the engines of %s are full: a slot is expected in %s, a response takes %s, %s are left",
			x.service, entry.Basis.Expected.Round(time.Millisecond), entry.Basis.Response.Round(time.Millisecond),
			entry.Basis.Remaining.Round(time.Millisecond))
	}
	failure.RetryAfter = retryAfter
	x.logWait(entry, decision)
	return failure
}

// refusalRetryAfter returns the retry delay of a request that no engine took.
func (x *exchange) refusalRetryAfter() time.Duration {
	if x.relay.live == nil || x.request.Sender != nil {
		return refusalRetryAfter
	}
	return x.relay.live.retryAfter(x.queueRequest(&waiter{query: x.engineQuery()}))
}

// slotUsed records that the granted slot is seen as a request at an engine.
func (x *exchange) slotUsed() {
	if x.slot != nil {
		x.relay.live.started(x.slot)
		x.slot = nil
	}
}

// releaseSlot returns the granted slot if it was not used.
func (x *exchange) releaseSlot() {
	if x.slot != nil {
		x.relay.live.abandon(x.slot)
		x.slot = nil
	}
}

// noteRefusal remembers an engine that did not run the request because it has no free slot, by its own report. Without
// a queue, such an engine is not tried again.
func (x *exchange) noteRefusal(engine fleet.Engine, answer *Answer) {
	if x.relay.live == nil || answer == nil || !answer.NotExecuted || answer.WrongEngine || answer.Load == nil {
		return
	}
	if answer.Load.Running+answer.Load.Waiting >= max(1, engine.Slots) {
		x.refusedFull = append(x.refusedFull, engine.ID)
	}
}

// excluded returns the engines that the request may not be sent to again.
func (x *exchange) excluded() []string {
	if len(x.refusedFull) == 0 {
		return x.tried
	}
	return slices.DeleteFunc(slices.Clone(x.tried), func(id string) bool { return slices.Contains(x.refusedFull, id) })
}

// logWait logs and counts the decision about a request that waited or was refused by the queue.
func (x *exchange) logWait(entry *livequeue.Entry, decision QueueDecision) {
	waited := time.Since(entry.Arrived)
	if observe := x.relay.options.OnQueueDecision; observe != nil {
		observe(decision, waited)
	}
	level := zerolog.WarnLevel
	if decision == QueueWaited {
		level = zerolog.InfoLevel
	}
	basis := entry.Basis
	line := x.relay.options.Logger.WithLevel(level).Str("id", x.request.ID).Str("service", x.service).
		Str("tenant", x.sender.Tenant).Int("priority", x.sender.Priority).Stringer("decision", decision).
		Stringer("reason", entry.Reason).Dur("waited_ms", waited).Dur("expected_ms", basis.Expected).
		Dur("response_ms", basis.Response).Dur("remaining_ms", basis.Remaining).Int("ahead", basis.Ahead).
		Int("waiting", basis.Waiting).Int("slots", basis.Slots).Int("occupied", basis.Occupied).Int("own", basis.Own).
		Int("tried", len(x.tried))
	if decision == QueueWaited {
		line.Msg("live request waited for a slot")
		return
	}
	line.Msg("live request refused by the queue")
}
