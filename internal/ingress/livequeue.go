package ingress

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
)

// QueueDecision is how the wait of a request for a slot ended.
type QueueDecision uint8

// Decisions about requests while all engines are full.
const (
	// QueueWaited: the request was granted a slot after a wait.
	QueueWaited QueueDecision = iota
	// QueueHopeless: refused, because its response was not expected in time.
	QueueHopeless
	// QueueRefused: refused, because the queue was full or the longest wait was over.
	QueueRefused
	// QueueEvicted: refused in favor of another tenant, because the queue was full.
	QueueEvicted
	// QueueCallerLeft: the caller disconnected.
	QueueCallerLeft
	// QueueConfigurationChanged: refused by the configuration that came into force during the wait.
	QueueConfigurationChanged
	// QueueEnginesUnknown: refused after a suspension of the node, which had not read the engine list again.
	QueueEnginesUnknown
	// QueueQuarantined: refused, because engines ended under the same request during the wait.
	QueueQuarantined
	// QueueStopping: refused, because the node stops.
	QueueStopping
	queueDecisionCount
)

var queueDecisionNames = [queueDecisionCount]string{
	QueueWaited: "waited", QueueHopeless: "hopeless", QueueRefused: "refused", QueueEvicted: "evicted",
	QueueCallerLeft: "caller_left", QueueConfigurationChanged: "configuration_changed",
	QueueEnginesUnknown: "engines_unknown", QueueQuarantined: "quarantined", QueueStopping: "stopping",
}

// String returns the decision's name in logs and metrics.
func (d QueueDecision) String() string { return queueDecisionNames[d] }

// QueueDecisions returns all decisions.
func QueueDecisions() []QueueDecision {
	decisions := make([]QueueDecision, queueDecisionCount)
	for i := range decisions {
		decisions[i] = QueueDecision(i)
	}
	return decisions
}

// liveQueue is the queue of a relay. A nil liveQueue grants every request a slot. It is safe for concurrent use. Its
// lock may be held while the fleet's lock is taken, but not the other way around.
type liveQueue struct {
	fleet    *fleet.Fleet
	onLength func(requests int, bytes int64)

	mu    sync.Mutex
	queue *livequeue.Queue
	// changed is closed and replaced when waiting requests must be checked against the configuration again, or when
	// stopping was set.
	changed  chan struct{}
	stopping bool
	// requests and bytes are those last passed to onLength.
	requests int
	bytes    int64
}

// waiter is the owner of an entry of the queue.
type waiter struct {
	// query selects the engines that may run the request.
	query fleet.Query
	// settled is closed when another call granted the entry a slot or refused it.
	settled chan struct{}
	// retryAfter is the retry delay of a refused request.
	retryAfter time.Duration
}

func newLiveQueue(options Options) *liveQueue {
	if options.LiveQueue.MaxWait <= 0 {
		return nil
	}
	onLength := options.OnQueueLength
	if onLength == nil {
		onLength = func(int, int64) {}
	}
	return &liveQueue{
		fleet: options.Fleet, onLength: onLength, queue: livequeue.New(options.LiveQueue), changed: make(chan struct{}),
	}
}

// capacity returns what is known of the engines that may run a request.
func (l *liveQueue) capacity(now time.Time, query fleet.Query) livequeue.Capacity {
	query.Now = now
	state := l.fleet.Saturation(query)
	return livequeue.Capacity{
		Candidates: state.Candidates, Slots: state.Slots, Free: state.Free, Occupied: state.Occupied, Own: state.Own,
		FreeAt: state.FreeAt, Response: state.AnswerTime, ResponseKnown: state.AnswerTimeKnown,
	}
}

func (l *liveQueue) capacityAt(now time.Time) livequeue.CapacityOf {
	return func(request *livequeue.Request) livequeue.Capacity {
		return l.capacity(now, request.Owner.(*waiter).query)
	}
}

// settle notifies the owners of the entries that a call granted or refused. Must be called with mu held.
func (l *liveQueue) settle(now time.Time, changes livequeue.Changes) {
	for _, entry := range changes.Granted {
		close(entry.Owner.(*waiter).settled)
	}
	for _, entry := range changes.Refused {
		l.setRetryAfter(now, entry)
		close(entry.Owner.(*waiter).settled)
	}
	if requests, bytes := l.queue.Waiting(); requests != l.requests || bytes != l.bytes {
		l.requests, l.bytes = requests, bytes
		l.onLength(requests, bytes)
	}
}

// setRetryAfter sets the retry delay of a refused entry. Must be called with mu held.
func (l *liveQueue) setRetryAfter(now time.Time, entry *livequeue.Entry) {
	owner := entry.Owner.(*waiter)
	owner.retryAfter = l.queue.RetryAfter(now, &entry.Request, l.capacity(now, owner.query))
}

// grantFree grants the free slots of a service. Must be called with mu held.
func (l *liveQueue) grantFree(now time.Time, service string) {
	l.settle(now, l.queue.Next(now, service, l.capacityAt(now)))
}

// requestEnded records that a request of this node at a service ended.
func (l *liveQueue) requestEnded(service string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.queue.Ended(now, service)
	l.grantFree(now, service)
}

// started records that the granted slot of an entry is seen as a request at an engine.
func (l *liveQueue) started(entry *livequeue.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Started(entry)
	l.grantFree(time.Now(), entry.Service)
}

// holdIn holds the granted slot of an entry only in the given regions.
func (l *liveQueue) holdIn(entry *livequeue.Entry, regions homes.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.HoldIn(entry, regions)
	l.grantFree(time.Now(), entry.Service)
}

// abandon withdraws an entry.
func (l *liveQueue) abandon(entry *livequeue.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Abandon(entry)
	l.grantFree(time.Now(), entry.Service)
}

// offered is the result of an offer, as it was before any other call changed the entry.
type offered struct {
	state livequeue.State
	// basis is what determined the decision.
	basis livequeue.Basis
	// reassessAt is when reassess must be called if the entry waits.
	reassessAt time.Time
}

// offer offers a request.
func (l *liveQueue) offer(request livequeue.Request) (*livequeue.Entry, offered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	query := request.Owner.(*waiter).query
	query.Now = now
	entry := l.queue.OfferFree(now, request, func(moreThan int) bool { return l.fleet.HasFreeSlots(query, moreThan) })
	if entry != nil {
		return entry, offered{state: entry.State}
	}
	entry, changes := l.queue.Offer(now, request, l.capacityAt(now))
	if entry.State == livequeue.Refused {
		l.setRetryAfter(now, entry)
	}
	l.settle(now, changes)
	return entry, offered{state: entry.State, basis: entry.Basis, reassessAt: l.reassessAt(now, entry)}
}

// reassess decides again about a waiting entry.
func (l *liveQueue) reassess(entry *livequeue.Entry) (reassessAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.grantFree(now, entry.Service)
	if entry.State != livequeue.Waiting {
		return now
	}
	l.queue.Reassess(now, entry, l.capacityAt(now))
	switch entry.State {
	case livequeue.Granted:
		l.settle(now, livequeue.Changes{Granted: []*livequeue.Entry{entry}})
	case livequeue.Refused:
		l.settle(now, livequeue.Changes{Refused: []*livequeue.Entry{entry}})
	}
	return l.reassessAt(now, entry)
}

// reassessAt must be called with mu held.
func (l *liveQueue) reassessAt(now time.Time, entry *livequeue.Entry) time.Time {
	if entry.State != livequeue.Waiting {
		return now
	}
	return l.queue.ReassessAt(now, entry)
}

// stateOf returns the state of an entry, and the channel that is closed when the entry must be checked again.
func (l *liveQueue) stateOf(entry *livequeue.Entry) (state livequeue.State, changed <-chan struct{}, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return entry.State, l.changed, l.stopping
}

// notifyChanged makes all waiting requests check the configuration and the stop state.
func (l *liveQueue) notifyChanged(stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = l.stopping || stopping
	close(l.changed)
	l.changed = make(chan struct{})
}

// retryAfter returns the retry delay of a request that no engine took.
func (l *liveQueue) retryAfter(request livequeue.Request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.queue.RetryAfter(now, &request, l.capacity(now, request.Owner.(*waiter).query))
}

// EnginesChanged must be called after changes of the engine list, of evacuations, or of the reported loads that the
// relay did not make itself, so that waiting requests use slots that came free.
func (r *Relay) EnginesChanged() {
	if r == nil || r.live == nil {
		return
	}
	r.live.mu.Lock()
	defer r.live.mu.Unlock()
	now := time.Now()
	for _, service := range r.live.queue.Services() {
		r.live.grantFree(now, service)
	}
}

// ConfigurationChanged must be called after Options.Table returns another configuration, so that waiting requests are
// checked against it.
func (r *Relay) ConfigurationChanged() {
	if r != nil && r.live != nil {
		r.live.notifyChanged(false)
	}
}

// RefuseWaiting refuses the waiting requests as not executed, and from now on those that would wait.
func (r *Relay) RefuseWaiting() {
	if r != nil && r.live != nil {
		r.live.notifyChanged(true)
	}
}
