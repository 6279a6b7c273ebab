package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// maxMessageBytes is one packet on any network in use.
const maxMessageBytes = 1400

// syncTicks is the period of full exchanges in the simulation.
const syncTicks = 50

type delivery struct {
	tick    int
	message Message
}

// process is one process start in the simulation.
type process struct {
	node   *Node
	frozen bool
}

// simulation is a network whose faults are functions of its own random source.
type simulation struct {
	t         assert.TestingT
	random    *rand.Rand
	tick      int
	ids       []string
	processes map[string]*process
	sides     map[string]int // partition sides
	loss      float64
	maxDelay  int
	flying    []delivery
	starts    int
	highest   map[string]uint64 // highest incarnation that a process of the ID said itself
	beliefs   map[string]map[string]Update
}

func newSimulation(t assert.TestingT, seed uint64, size int) *simulation {
	s := &simulation{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 1)),
		processes: make(map[string]*process),
		sides:     make(map[string]int),
		highest:   make(map[string]uint64),
		beliefs:   make(map[string]map[string]Update),
	}
	for i := range size {
		s.ids = append(s.ids, fmt.Sprintf("node-%02d", i))
	}
	for _, id := range s.ids {
		s.start(id, 0)
	}
	return s
}

// start starts a process of the ID; its first contact is any other process.
func (s *simulation) start(id string, incarnation uint64) {
	s.starts++
	config := DefaultConfig(Update{
		ID:          id,
		Writer:      fmt.Sprintf("writer-%03d", s.random.IntN(1000)),
		Address:     "10.0.0.1:7000",
		Incarnation: incarnation,
	}, uint64(s.starts))
	node, err := New(config)
	assert.NilError(s.t, err)
	s.processes[id] = &process{node: node}
	s.beliefs[id] = make(map[string]Update)
	for _, other := range s.ids {
		if other != id && s.processes[other] != nil {
			s.exchange(id, other)
			break
		}
	}
}

func (s *simulation) crash(id string) { delete(s.processes, id) }

func (s *simulation) connected(from, to string) bool { return s.sides[from] == s.sides[to] }

// exchange is what the runtime does by a gossip call.
func (s *simulation) exchange(from, to string) {
	a, b := s.processes[from], s.processes[to]
	if a == nil || b == nil || a.frozen || b.frozen || !s.connected(from, to) {
		return
	}
	b.node.Merge(a.node.Members())
	a.node.Merge(b.node.Members())
}

func (s *simulation) run(ticks int) {
	for range ticks {
		s.tick++
		s.deliver()
		for _, id := range s.ids {
			if p := s.processes[id]; p != nil && !p.frozen {
				p.node.Tick()
				s.collect(id, p.node)
			}
		}
		if s.tick%syncTicks == 0 {
			for _, id := range s.ids {
				s.exchange(id, s.ids[s.random.IntN(len(s.ids))])
			}
		}
		s.check()
	}
}

func (s *simulation) collect(from string, node *Node) {
	for _, message := range node.Ready().Messages {
		assert.Assert(s.t, len(message.Updates) <= node.config.MaxUpdates+2)
		encoded, err := msgpack.Marshal(&message)
		assert.NilError(s.t, err)
		assert.Assert(s.t, len(encoded) <= maxMessageBytes, "%d bytes", len(encoded))
		if s.random.Float64() < s.loss || !s.connected(from, message.To) {
			continue
		}
		s.flying = append(s.flying, delivery{tick: s.tick + s.random.IntN(s.maxDelay+1), message: message})
	}
}

func (s *simulation) deliver() {
	// An answer may be due in the same tick as its question, as on a loopback.
	for again := true; again; {
		again = false
		due := s.flying
		s.flying = nil
		for _, d := range due {
			p := s.processes[d.message.To]
			switch {
			case d.tick > s.tick || p != nil && p.frozen:
				s.flying = append(s.flying, d)
			case p != nil && s.connected(d.message.From, d.message.To):
				p.node.Step(d.message)
				s.collect(d.message.To, p.node)
				again = true
			}
		}
	}
}

// check holds at every tick: beliefs only move up, and nobody is credited with
// an incarnation that no process of its ID ever said.
func (s *simulation) check() {
	for id, p := range s.processes {
		s.highest[id] = max(s.highest[id], p.node.Self().Incarnation)
	}
	for id, p := range s.processes {
		for _, belief := range p.node.Members() {
			before, known := s.beliefs[id][belief.ID]
			if known && before != belief && belief.ID != id {
				assert.Assert(s.t, belief.supersedes(before), "%s: %v after %v", id, belief, before)
			}
			assert.Assert(s.t, belief.Incarnation <= s.highest[belief.ID], "%s holds %v", id, belief)
			s.beliefs[id][belief.ID] = belief
		}
	}
}

// disagreement describes the first process whose view is not the live set.
func (s *simulation) disagreement() string {
	for _, id := range s.ids {
		p := s.processes[id]
		if p == nil {
			continue
		}
		seen := 0
		for _, belief := range p.node.Members() {
			if belief.State == Dead {
				continue
			}
			seen++
			real := s.processes[belief.ID]
			if real == nil || real.node.Self().Writer != belief.Writer || belief.State != Alive {
				return fmt.Sprintf("%s holds %+v", id, belief)
			}
		}
		if seen != len(s.processes) {
			return fmt.Sprintf("%s sees %d of %d", id, seen, len(s.processes))
		}
	}
	return ""
}

func (s *simulation) requireAgreement(limit int) {
	for range limit {
		if s.disagreement() == "" {
			return
		}
		s.run(1)
	}
	assert.Equal(s.t, s.disagreement(), "")
}

// countDead counts the live processes that hold the ID for dead.
func (s *simulation) countDead(id string) int {
	count := 0
	for _, p := range s.processes {
		if known := p.node.members[id]; known != nil && known.update.State == Dead {
			count++
		}
	}
	return count
}

func forSeeds(t *testing.T, seeds int, test func(t *testing.T, seed uint64)) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { test(t, uint64(seed)) })
	}
}
