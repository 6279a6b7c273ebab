// Package livequeue decides which live requests wait for an engine, in which order they are sent, and which are
// refused, while all engines that may run them are known to be full. It has no input, output, clock or goroutines:
// times and the occupancy of the engines are passed in.
//
// The load that it addresses are bursts of some seconds of several times what the engines serve. Requests take tens of
// milliseconds and their deadlines are about a second, so that a short wait serves a request that would otherwise be
// refused, and a longer one is of no use to its caller.
//
// Invariants:
//   - Each offered request ends exactly once: it is granted a slot, refused, or it leaves.
//   - No slot is left free while a request that may use it waits.
package livequeue

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// Limits bound what waits, over all services of a node.
type Limits struct {
	// MaxWait is the longest time that a request waits.
	MaxWait time.Duration
	// Requests and Bytes bound the number of the waiting requests and the size of their bodies.
	Requests int
	Bytes    int64
}

// Request is a request that asks for a slot.
type Request struct {
	Service string
	// Flow names the share that the request counts towards: its tenant or, without tenants, its route.
	Flow string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Class names the set of engines that may run the request. Requests of one service and class share their slots.
	Class string
	// Regions are those of the engines that may run the request. Requests without a region in common share no engines.
	Regions homes.Set
	// Bytes is the size of the request's body.
	Bytes int64
	// Deadline is when the response must be complete.
	Deadline time.Time
	// WaitsSince is when the request began to wait, if it waited before; zero otherwise.
	WaitsSince time.Time
	// Refusals is the number of engines that refused the request because they were full.
	Refusals int
	// Owner identifies the request to the caller. The queue does not use it.
	Owner any
}

// Capacity is what is known of the engines that may run a request.
type Capacity struct {
	// Candidates is the number of engines, Slots the sum of their slots, Free the number of slots not known to be taken.
	Candidates int
	Slots      int
	Free       int
	// Occupied is the number of requests known to be at the engines, Own the number of those that this node sent.
	Occupied int
	Own      int
	// FreeAt is when the knowledge that the engines are full expires; zero if it does not.
	FreeAt time.Time
	// Response is the mean response time; ResponseKnown is false if it is an assumption.
	Response      time.Duration
	ResponseKnown bool
}

// CapacityOf returns the capacity for a request. Requests of one service and class have the same.
type CapacityOf func(request *Request) Capacity

// remembered returns a function that calls c once for each class.
func (c CapacityOf) remembered() CapacityOf {
	known := make(map[string]Capacity)
	return func(request *Request) Capacity {
		capacity, found := known[request.Class]
		if !found {
			capacity = c(request)
			known[request.Class] = capacity
		}
		return capacity
	}
}

// State is the state of an entry.
type State uint8

// States of entries.
const (
	// Waiting: the entry is in the queue.
	Waiting State = iota
	// Granted: a slot is held for the request until Started or Abandon is called.
	Granted
	// Refused: the request must not be sent; Entry.Reason says why.
	Refused
	// Left: the caller withdrew the request, or the granted slot was used or returned.
	Left
)

// Reason is why a request is refused.
type Reason uint8

// Reasons for a refusal.
const (
	// NotRefused is the reason of entries that are not refused.
	NotRefused Reason = iota
	// Hopeless: the response cannot be expected before the deadline, or a slot within the longest wait.
	Hopeless
	// TimedOut: the request waited for the longest time permitted.
	TimedOut
	// QueueFull: the request found the queue full, and no other tenant is further above its share.
	QueueFull
	// Evicted: the request was the newest one of the tenant furthest above its share when the queue was full.
	Evicted
)

var reasonNames = [...]string{
	NotRefused: "none", Hopeless: "hopeless", TimedOut: "timed_out", QueueFull: "queue_full", Evicted: "evicted",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns the reasons for refusals.
func Reasons() []Reason { return []Reason{Hopeless, TimedOut, QueueFull, Evicted} }

// Entry is an offered request.
type Entry struct {
	Request
	// State and Reason are the current state and, if refused, why.
	State  State
	Reason Reason
	// Arrived is when the request began to wait: Request.WaitsSince, or when it was offered.
	Arrived time.Time
	// Basis is what determined the newest decision about the request.
	Basis Basis

	sequence uint64
	// held are the regions in which a slot is held for a granted entry.
	held homes.Set
}

// Basis is what determined a decision.
type Basis struct {
	// Ahead is the number of waiting requests that are sent to the same engines before this one. Waiting is that of all
	// of the service.
	Ahead   int
	Waiting int
	// Expected is the expected time until a slot is free for the request, Response the expected time of its response.
	Expected time.Duration
	Response time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Slots, Occupied and Own are those of the engines that may run the request.
	Slots    int
	Occupied int
	Own      int

	// slotAt is when a slot is expected, freeAt is Capacity.FreeAt.
	slotAt, freeAt time.Time
}

// Queue holds the waiting requests of a node. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	services map[string]*service
	// requests and bytes are those of all waiting entries.
	requests int
	bytes    int64
	sequence uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, services: make(map[string]*service)}
}

// Waiting returns the number and the bytes of the waiting requests.
func (q *Queue) Waiting() (requests int, bytes int64) { return q.requests, q.bytes }

// IsIdle reports whether nothing of the service waits.
func (q *Queue) IsIdle(serviceName string) bool {
	s, found := q.services[serviceName]
	return !found || s.waiting == 0
}

// Services returns the services with waiting requests.
func (q *Queue) Services() []string {
	var names []string
	for name, s := range q.services {
		if s.waiting > 0 {
			names = append(names, name)
		}
	}
	return names
}

func (q *Queue) service(name string) *service {
	s, found := q.services[name]
	if !found {
		s = &service{}
		q.services[name] = s
	}
	return s
}

// remove takes a waiting entry out of the queue and sets its state.
func (q *Queue) remove(entry *Entry, state State, reason Reason) {
	s := q.services[entry.Service]
	s.remove(entry)
	q.requests--
	q.bytes -= entry.Bytes
	entry.State, entry.Reason = state, reason
}
