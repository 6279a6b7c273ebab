// Package connections decides which client connections a node keeps open, and what the requests on them may hold in
// memory. It has no input, output or clock: its callers report what happens, and close the connections that it names.
//
// Ordinary requests arrive within a few packets, so that a connection whose client is silent is the first to go: while
// connections or memory are short, silent clients make room for new ones. Requests that have arrived are never evicted.
package connections

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
)

const (
	// silentAfter is the silence after which the client of an unfinished request may lose its memory to another one. It
	// exceeds the pause that a lost packet causes.
	silentAfter = 250 * time.Millisecond
	// unservedPatience is the time for which a connection without a served request is preferred to an idle one that has
	// been served.
	unservedPatience = time.Second
)

// Phase is what a connection does.
type Phase uint8

const (
	// Waiting means that no byte of the next request has arrived.
	Waiting Phase = iota
	// Receiving means that a part of a request has arrived.
	Receiving
	// Running means that a request has arrived and is not answered yet.
	Running
)

// Group is a set of connections with a limit of its own.
type Group struct {
	max  int
	open int
}

// NewGroup returns a group of at most limit connections, and at least one.
func NewGroup(limit int) *Group { return &Group{max: max(1, limit)} }

// Limit returns the largest number of open connections.
func (g *Group) Limit() int { return g.max }

// Connection is an open connection. Its fields are guarded by the lock of its Set.
type Connection struct {
	// Owner is set by the creator and not used here.
	Owner any

	group *Group
	phase Phase
	// heard is the time at which the client's last byte arrived or, before the first byte of a request, at which the
	// connection began to wait for it.
	heard time.Time
	// served is true once a request has been answered.
	served bool
	// held are the bytes that the connection holds of the budget.
	held [bytebudget.KindCount]int64
	// closed is true once the connection was closed or evicted; it holds nothing then.
	closed bool
}

// Set is the open connections of a node. It is safe for concurrent use.
//
// Invariant: the connections of a group never exceed its limit, and the bytes that a connection holds in the budget are
// released exactly once.
type Set struct {
	budget *bytebudget.Budget

	mu   sync.Mutex
	open map[*Connection]struct{}
}

// NewSet returns a set whose connections share a budget with the rest of the node.
func NewSet(budget *bytebudget.Budget) *Set {
	return &Set{budget: budget, open: make(map[*Connection]struct{})}
}

// Open adds a connection to a group. If the group is full, it evicts the connection that the caller must close, or
// returns false if none may be evicted.
func (s *Set) Open(group *Group, owner any, now time.Time) (opened, evicted *Connection, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if group.open >= group.max {
		if evicted = s.leastActive(group, now); evicted == nil {
			return nil, nil, false
		}
		s.remove(evicted)
	}
	opened = &Connection{Owner: owner, group: group, heard: now}
	s.open[opened] = struct{}{}
	group.open++
	return opened, evicted, true
}

// leastActive returns the connection of a group that has waited longest for its client; nil if all run requests. One
// that has never been served goes before the others once its client had the time to send a request.
func (s *Set) leastActive(group *Group, now time.Time) *Connection {
	var unserved, waiting *Connection
	for connection := range s.open {
		if connection.group != group || connection.phase == Running {
			continue
		}
		if waiting == nil || connection.heard.Before(waiting.heard) {
			waiting = connection
		}
		if !connection.served && (unserved == nil || connection.heard.Before(unserved.heard)) {
			unserved = connection
		}
	}
	if unserved != nil && now.Sub(unserved.heard) >= unservedPatience {
		return unserved
	}
	return waiting
}

// Enter changes the phase of a connection whose client has sent something.
func (s *Set) Enter(connection *Connection, phase Phase, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	connection.phase, connection.heard = phase, now
}

// Finish records that the request of a connection was answered. What it holds returns to the budget.
func (s *Set) Finish(connection *Connection, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseAll(connection)
	connection.phase, connection.heard, connection.served = Waiting, now, true
}

// Heard records that bytes of the client have arrived.
func (s *Set) Heard(connection *Connection, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	connection.heard = now
}

// Reserve reserves memory for the request of a connection. While the budget is exhausted, it evicts connections that the
// caller must close, those first that have held the most for the longest time without a byte of their clients. It
// returns false if that does not suffice, or if the connection was evicted itself.
func (s *Set) Reserve(
	connection *Connection, kind bytebudget.Kind, bytes int64, now time.Time,
) (evicted []*Connection, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if connection.closed {
		return nil, false
	}
	for !s.budget.ReserveMore(kind, bytes, connection.total()) {
		victim := s.heaviest(connection, now)
		if victim == nil {
			return evicted, false
		}
		s.remove(victim)
		evicted = append(evicted, victim)
	}
	connection.held[kind] += bytes
	return evicted, true
}

// Exceeds reports whether the request of a connection can never hold the given bytes in addition.
func (s *Set) Exceeds(connection *Connection, bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Exceeds(bytes, connection.total())
}

// heaviest returns the connection with an unfinished request that has held the most memory for the longest silence of
// its client; nil if all clients but the given one have sent something lately.
func (s *Set) heaviest(except *Connection, now time.Time) *Connection {
	var victim *Connection
	var most float64
	for connection := range s.open {
		silence := now.Sub(connection.heard)
		if connection == except || connection.phase != Receiving || silence < silentAfter {
			continue
		}
		if weight := float64(connection.total()) * silence.Seconds(); weight > most {
			victim, most = connection, weight
		}
	}
	return victim
}

// Close removes a connection and returns what it holds to the budget. Further calls have no effect.
func (s *Set) Close(connection *Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(connection)
}

// Count returns the number of open connections of a group.
func (s *Set) Count(group *Group) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return group.open
}

// remove removes a connection. Must be called with mu held.
func (s *Set) remove(connection *Connection) {
	if connection.closed {
		return
	}
	connection.closed = true
	connection.group.open--
	delete(s.open, connection)
	s.releaseAll(connection)
}

// releaseAll returns what a connection holds to the budget. Must be called with mu held.
func (s *Set) releaseAll(connection *Connection) {
	for kind, bytes := range connection.held {
		s.budget.Release(bytebudget.Kind(kind), bytes)
	}
	connection.held = [bytebudget.KindCount]int64{}
}

// total returns the bytes that the connection holds. Must be called with mu of its set held.
func (c *Connection) total() (sum int64) {
	for _, bytes := range c.held {
		sum += bytes
	}
	return sum
}
