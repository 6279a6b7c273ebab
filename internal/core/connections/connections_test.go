package connections

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
)

var start = time.Unix(1000, 0)

// at returns the time that is some milliseconds after the start.
func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func open(t *testing.T, s *Set, group *Group, name string, now time.Time) (opened *Connection, evicted any) {
	t.Helper()
	opened, victim, ok := s.Open(group, name, now)
	assert.Assert(t, ok)
	if victim == nil {
		return opened, nil
	}
	return opened, victim.Owner
}

func TestFullGroupEvictsLongestSilentClient(t *testing.T) {
	s, group := NewSet(nil), NewGroup(2)
	first, _ := open(t, s, group, "first", at(0))
	open(t, s, group, "second", at(10))
	s.Heard(first, at(20))
	_, evicted := open(t, s, group, "third", at(30))
	assert.Equal(t, evicted, "second")
	assert.Equal(t, s.Count(group), 2)
}

// A crowd that never sends a request must not cost ordinary callers the connections that they keep.
func TestFullGroupEvictsUnservedBeforeIdleConnections(t *testing.T) {
	s, group := NewSet(nil), NewGroup(2)
	served, _ := open(t, s, group, "served", at(0))
	s.Enter(served, Running, at(1))
	s.Finish(served, at(2))
	open(t, s, group, "unserved", at(10))
	_, evicted := open(t, s, group, "early", at(500))
	assert.Equal(t, evicted, "served", "the other one may be about to send its request")
	_, evicted = open(t, s, group, "late", at(1010))
	assert.Equal(t, evicted, "unserved")
}

func TestFullGroupKeepsRunningRequests(t *testing.T) {
	s, group := NewSet(nil), NewGroup(1)
	running, _ := open(t, s, group, "running", at(0))
	s.Enter(running, Running, at(1))
	_, _, ok := s.Open(group, "next", at(60_000))
	assert.Assert(t, !ok)
	s.Close(running)
	s.Close(running)
	_, _, ok = s.Open(group, "next", at(60_000))
	assert.Assert(t, ok)
}

func TestGroupsHaveLimitsOfTheirOwn(t *testing.T) {
	s, callers, operators := NewSet(nil), NewGroup(1), NewGroup(1)
	open(t, s, callers, "caller", at(0))
	_, evicted := open(t, s, operators, "operator", at(1))
	assert.Equal(t, evicted, nil)
}

// receiving opens a connection whose request is arriving and holds some memory.
func receiving(t *testing.T, s *Set, group *Group, name string, bytes int64, now time.Time) *Connection {
	t.Helper()
	connection, _ := open(t, s, group, name, now)
	s.Enter(connection, Receiving, now)
	_, ok := s.Reserve(connection, bytebudget.Headers, bytes, now)
	assert.Assert(t, ok)
	return connection
}

// The memory of clients that have gone silent is given to others, the most costly one first.
func TestReserveEvictsCostliestSilentClient(t *testing.T) {
	s, group := NewSet(bytebudget.New(100)), NewGroup(10)
	receiving(t, s, group, "small", 10, at(0))
	receiving(t, s, group, "large", 30, at(0))
	lively := receiving(t, s, group, "lively", 10, at(0))
	s.Heard(lively, at(900))
	newcomer, _ := open(t, s, group, "newcomer", at(1000))
	evicted, ok := s.Reserve(newcomer, bytebudget.Headers, 20, at(1000))
	assert.Assert(t, ok)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0].Owner, "large")
}

func TestReserveSparesClientsThatHaveJustSentSomething(t *testing.T) {
	s, group := NewSet(bytebudget.New(100)), NewGroup(10)
	receiving(t, s, group, "first", 50, at(0))
	newcomer, _ := open(t, s, group, "newcomer", at(100))
	evicted, ok := s.Reserve(newcomer, bytebudget.Headers, 20, at(100))
	assert.Assert(t, !ok && len(evicted) == 0)
}

func TestReserveSparesRunningRequests(t *testing.T) {
	s, group := NewSet(bytebudget.New(100)), NewGroup(10)
	running := receiving(t, s, group, "running", 50, at(0))
	s.Enter(running, Running, at(1))
	newcomer, _ := open(t, s, group, "newcomer", at(60_000))
	_, ok := s.Reserve(newcomer, bytebudget.Headers, 20, at(60_000))
	assert.Assert(t, !ok)
	s.Finish(running, at(60_001))
	_, ok = s.Reserve(newcomer, bytebudget.Headers, 20, at(60_002))
	assert.Assert(t, ok)
}

// An evicted connection must neither reserve nor release anything any more.
func TestEvictedConnectionHoldsNothing(t *testing.T) {
	budget := bytebudget.New(100)
	s, group := NewSet(budget), NewGroup(10)
	victim := receiving(t, s, group, "victim", 50, at(0))
	newcomer, _ := open(t, s, group, "newcomer", at(1000))
	_, ok := s.Reserve(newcomer, bytebudget.Headers, 40, at(1000))
	assert.Assert(t, ok)
	_, ok = s.Reserve(victim, bytebudget.Headers, 1, at(1001))
	assert.Assert(t, !ok)
	s.Finish(victim, at(1002))
	s.Close(victim)
	assert.Equal(t, budget.Held(bytebudget.Headers), int64(40))
}

func TestExceedsReportsWhatOneRequestCanNeverHold(t *testing.T) {
	s, group := NewSet(bytebudget.New(100)), NewGroup(10)
	connection, _ := open(t, s, group, "large", at(0))
	_, ok := s.Reserve(connection, bytebudget.Bodies, 290, at(0))
	assert.Assert(t, ok, "nothing else is held")
	assert.Assert(t, !s.Exceeds(connection, 10))
	assert.Assert(t, s.Exceeds(connection, 11))
	_, ok = s.Reserve(connection, bytebudget.Bodies, 11, at(0))
	assert.Assert(t, !ok)
}

// Checks the invariants for any sequence of events.
func TestSetStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, maxOpen = 1000, 5
		budget := bytebudget.New(limit)
		s, group := NewSet(budget), NewGroup(maxOpen)
		var all []*Connection
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if opened, _, ok := s.Open(group, nil, now); ok {
					all = append(all, opened)
				}
				continue
			}
			connection := rapid.SampledFrom(all).Draw(t, "connection")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.Enter(connection, rapid.SampledFrom([]Phase{Receiving, Running}).Draw(t, "phase"), now)
			case 1:
				kind := rapid.SampledFrom(bytebudget.Kinds()).Draw(t, "kind")
				_, _ = s.Reserve(connection, kind, rapid.Int64Range(1, 400).Draw(t, "bytes"), now)
			case 2:
				s.Finish(connection, now)
			case 3:
				s.Close(connection)
			case 4:
				s.Heard(connection, now)
			}
			assert.Assert(t, s.Count(group) <= maxOpen && s.Count(group) == len(s.open))
			var held int64
			for each := range s.open {
				held += each.total()
			}
			var budgeted int64
			for _, kind := range bytebudget.Kinds() {
				budgeted += budget.Held(kind)
			}
			assert.Equal(t, held, budgeted)
		}
	})
}
