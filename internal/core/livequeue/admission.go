package livequeue

import (
	"slices"
	"time"
)

// Changes are the entries whose states a call changed, other than the entry that the call is about.
type Changes struct {
	Granted []*Entry
	Refused []*Entry
}

// Offer offers a request. The entry that it returns is granted a slot at once, waits, or is refused.
//
// A request is granted a slot unless all engines that may run it are known to be full, counting the slots that are
// granted and not used yet, or other requests that wait for them come first. Without any engine it is granted too: it
// does not wait for engines that may never come.
func (q *Queue) Offer(now time.Time, request Request, capacityOf CapacityOf) (*Entry, Changes) {
	entry, s := q.newEntry(now, request)
	capacityOf = capacityOf.remembered()
	capacity := capacityOf(&entry.Request)
	s.observe(now)
	q.insert(entry)
	changes := q.next(now, request.Service, capacityOf)
	switch entry.State {
	case Granted:
		changes.Granted = slices.DeleteFunc(changes.Granted, func(each *Entry) bool { return each == entry })
		return entry, changes
	case Refused:
		changes.Refused = slices.DeleteFunc(changes.Refused, func(each *Entry) bool { return each == entry })
		if s.hasSlot(entry, capacity) {
			// No waiting request may use this slot, or it would have been granted it.
			entry.Reason = NotRefused
			s.grant(entry)
		}
		return entry, changes
	}
	if q.estimate(now, entry, capacity, 1); !entry.isInTime(now, q.limits.MaxWait) {
		q.remove(entry, Refused, Hopeless)
		return entry, changes
	}
	if request.Bytes > q.limits.Bytes {
		q.remove(entry, Refused, QueueFull)
		return entry, changes
	}
	for q.requests > q.limits.Requests || q.bytes > q.limits.Bytes {
		victim := q.furthestAboveShare(entry)
		if victim == entry {
			q.remove(entry, Refused, QueueFull)
			break
		}
		q.remove(victim, Refused, Evicted)
		changes.Refused = append(changes.Refused, victim)
	}
	if entry.State == Waiting && s.waiting == 1 {
		s.drain.beginBusy(now)
	}
	return entry, changes
}

// OfferFree grants a request a slot at once if nothing waits for engines that may run it and hasFree reports that more
// slots are free than are granted in its regions. Otherwise it returns nil, and Offer decides. Most requests need no
// more than this.
func (q *Queue) OfferFree(now time.Time, request Request, hasFree func(moreThan int) bool) *Entry {
	s := q.service(request.Service)
	if s.waitingFor(request.Regions) > 0 || !hasFree(s.granted.sharing(request.Regions)) {
		return nil
	}
	entry, _ := q.newEntry(now, request)
	s.grant(entry)
	return entry
}

// newEntry returns an entry for the request, with the queue of its service.
func (q *Queue) newEntry(now time.Time, request Request) (*Entry, *service) {
	q.sequence++
	entry := &Entry{Request: request, Arrived: now, sequence: q.sequence}
	if !request.WaitsSince.IsZero() {
		entry.Arrived = request.WaitsSince
	}
	s := q.service(request.Service)
	s.arrivals.record(now, entry)
	return entry, s
}

func (q *Queue) insert(entry *Entry) {
	q.service(entry.Service).insert(entry)
	q.requests++
	q.bytes += entry.Bytes
}

// Next grants free slots of a service to waiting requests, in their order, and refuses those whose responses can no
// longer be expected in time. It must be called whenever a slot may have come free.
func (q *Queue) Next(now time.Time, serviceName string, capacityOf CapacityOf) Changes {
	if q.IsIdle(serviceName) {
		return Changes{}
	}
	q.services[serviceName].observe(now)
	return q.next(now, serviceName, capacityOf.remembered())
}

func (q *Queue) next(now time.Time, serviceName string, capacityOf CapacityOf) Changes {
	var changes Changes
	s := q.services[serviceName]
	for _, entry := range s.expired(now, func(entry *Entry) time.Duration { return capacityOf(&entry.Request).Response }) {
		ahead, _ := s.ahead(entry)
		q.describe(now, entry, capacityOf(&entry.Request), ahead)
		q.remove(entry, Refused, Hopeless)
		changes.Refused = append(changes.Refused, entry)
	}
	for {
		entry := s.next(func(entry *Entry) bool { return s.hasSlot(entry, capacityOf(&entry.Request)) })
		if entry == nil {
			return changes
		}
		q.describe(now, entry, capacityOf(&entry.Request), 0)
		q.grant(entry)
		changes.Granted = append(changes.Granted, entry)
	}
}

// Ended records that a request of this node at the service ended, so that a slot came free.
func (q *Queue) Ended(now time.Time, serviceName string) {
	if s, found := q.services[serviceName]; found && s.waiting > 0 {
		s.observe(now)
		s.drain.ended(now)
	}
}

// Reassess decides again about a waiting entry, once its estimate has expired. It refuses the entry if the request has
// waited for the longest time, or if its response can no longer be expected in time.
//
// It grants the first request of the queue a slot if this node has no request at the engines: a slot is expected to be
// free by then, and nothing else would tell this node before the reports expire, which is longer than most responses
// take. The response, or the refusal, brings a new report.
func (q *Queue) Reassess(now time.Time, entry *Entry, capacityOf CapacityOf) {
	if entry.State != Waiting {
		return
	}
	s, capacity, slotAt := q.services[entry.Service], capacityOf(&entry.Request), entry.Basis.slotAt
	s.observe(now)
	// The request that ends next may be about to end, so the next slot is expected at once.
	q.estimate(now, entry, capacity, 0)
	switch {
	case now.Sub(entry.Arrived) >= q.limits.MaxWait:
		q.remove(entry, Refused, TimedOut)
	case !entry.isInTime(now, q.limits.MaxWait):
		q.remove(entry, Refused, Hopeless)
	case entry.Basis.Ahead == 0 && capacity.Own == 0 && s.granted.sharing(entry.Regions) == 0 && !now.Before(slotAt):
		q.grant(entry)
	}
}

// minReassessDelay bounds the rate at which one request is reassessed. The end of its longest wait is not delayed by
// it.
const minReassessDelay = 5 * time.Millisecond

// ReassessAt returns when a waiting entry must be reassessed unless it is granted a slot before: when its estimate or
// the knowledge that the engines are full expires, after the longest wait, or when its response would come too late.
func (q *Queue) ReassessAt(now time.Time, entry *Entry) time.Time {
	at := now.Add(entry.Basis.Expected)
	if freeAt := entry.Basis.freeAt; !freeAt.IsZero() && freeAt.Before(at) {
		at = freeAt
	}
	if latest := entry.Deadline.Add(-entry.Basis.Response); latest.Before(at) {
		at = latest
	}
	if soonest := now.Add(minReassessDelay); at.Before(soonest) {
		at = soonest
	}
	if longest := entry.Arrived.Add(q.limits.MaxWait); longest.After(now) && longest.Before(at) {
		return longest
	}
	return at
}

// furthestAboveShare returns the entry to refuse while the queue is full: the newest one, of the least urgent priority,
// of the flow that holds the most. All flows have equal shares. Among flows that hold as much, it is that of newcomer,
// so that no earlier request is refused for a later one.
func (q *Queue) furthestAboveShare(newcomer *Entry) *Entry {
	type holder struct{ service, flow string }
	held := make(map[holder]int64)
	usage := func(entries int, bytes int64) int64 {
		if q.bytes > q.limits.Bytes {
			return bytes
		}
		return int64(entries)
	}
	for name, s := range q.services {
		for _, class := range s.classes {
			for _, f := range class.flows {
				held[holder{name, f.name}] += usage(len(f.entries), f.bytes)
			}
		}
	}
	most := holder{newcomer.Service, newcomer.Flow}
	for each, amount := range held {
		if amount > held[most] || amount == held[most] && most != (holder{newcomer.Service, newcomer.Flow}) &&
			(each.service+"/"+each.flow < most.service+"/"+most.flow) {
			most = each
		}
	}
	classes := q.services[most.service].classes
	for i := len(classes) - 1; i >= 0; i-- {
		if f, found := classes[i].flows[most.flow]; found && len(f.entries) > 0 {
			return slices.MaxFunc(f.entries, func(a, b *Entry) int { return int(int64(a.sequence) - int64(b.sequence)) })
		}
	}
	return newcomer
}
