package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// maxMessageBytes is the size that fits into one packet.
const maxMessageBytes = 1400

// syncTicks is the period of full exchanges in the simulation.
const syncTicks = 50

type delivery struct {
	tick    int
	message Message
}

// process is a running process of a node.
type process struct {
	node   *Node
	frozen bool
}

// simulation runs nodes on a simulated network. It is deterministic for a seed.
type simulation struct {
	t                  assert.TestingT
	random             *rand.Rand
	tick               int
	ids                []string
	processes          map[string]*process
	partitions         map[string]int // partition of each node
	loss               float64
	maxDelay           int
	inFlight           []delivery
	starts             int
	highestIncarnation map[string]uint64            // highest incarnation that a process with the ID has had
	views              map[string]map[string]Update // last seen update by observing and observed node
}

func newSimulation(t assert.TestingT, seed uint64, size int) *simulation {
	s := &simulation{
		t:                  t,
		random:             rand.New(rand.NewPCG(seed, 1)),
		processes:          make(map[string]*process),
		partitions:         make(map[string]int),
		highestIncarnation: make(map[string]uint64),
		views:              make(map[string]map[string]Update),
	}
	for i := range size {
		s.ids = append(s.ids, fmt.Sprintf("node-%02d", i))
	}
	for _, id := range s.ids {
		s.start(id, 0)
	}
	return s
}

// start starts a process with the ID and exchanges its member list with that of another one.
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
	s.views[id] = make(map[string]Update)
	for _, other := range s.ids {
		if other != id && s.processes[other] != nil {
			s.exchange(id, other)
			break
		}
	}
}

func (s *simulation) crash(id string) { delete(s.processes, id) }

func (s *simulation) connected(from, to string) bool { return s.partitions[from] == s.partitions[to] }

// exchange performs a full exchange of member lists.
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
				s.sendMessages(id, p.node)
			}
		}
		if s.tick%syncTicks == 0 {
			for _, id := range s.ids {
				s.exchange(id, s.ids[s.random.IntN(len(s.ids))])
			}
		}
		s.checkInvariants()
	}
}

func (s *simulation) sendMessages(from string, node *Node) {
	for _, message := range node.Ready().Messages {
		assert.Assert(s.t, len(message.Updates) <= node.config.MaxUpdates+2)
		encoded, err := msgpack.Marshal(&message)
		assert.NilError(s.t, err)
		assert.Assert(s.t, len(encoded) <= maxMessageBytes, "%d bytes", len(encoded))
		if s.random.Float64() < s.loss || !s.connected(from, message.To) {
			continue
		}
		s.inFlight = append(s.inFlight, delivery{tick: s.tick + s.random.IntN(s.maxDelay+1), message: message})
	}
}

func (s *simulation) deliver() {
	// A message and its answer may be delivered in the same tick, as on a loopback interface.
	for delivered := true; delivered; {
		delivered = false
		pending := s.inFlight
		s.inFlight = nil
		for _, d := range pending {
			p := s.processes[d.message.To]
			switch {
			case d.tick > s.tick || p != nil && p.frozen:
				s.inFlight = append(s.inFlight, d)
			case p != nil && s.connected(d.message.From, d.message.To):
				p.node.Step(d.message)
				s.sendMessages(d.message.To, p.node)
				delivered = true
			}
		}
	}
}

// checkInvariants asserts what must hold after each tick: updates are only replaced by superseding ones, and no node
// has an incarnation that none of its processes announced.
func (s *simulation) checkInvariants() {
	for id, p := range s.processes {
		s.highestIncarnation[id] = max(s.highestIncarnation[id], p.node.Self().Incarnation)
	}
	for id, p := range s.processes {
		for _, member := range p.node.Members() {
			before, known := s.views[id][member.ID]
			if known && before != member && member.ID != id {
				assert.Assert(s.t, member.supersedes(before), "%s: %v does not supersede %v", id, member, before)
			}
			assert.Assert(s.t, member.Incarnation <= s.highestIncarnation[member.ID], "%s has member %v with an unannounced incarnation", id, member)
			s.views[id][member.ID] = member
		}
	}
}

// disagreement describes the first process whose member list differs from the set of live processes.
func (s *simulation) disagreement() string {
	for _, id := range s.ids {
		p := s.processes[id]
		if p == nil {
			continue
		}
		seen := 0
		for _, member := range p.node.Members() {
			if member.State == Dead {
				continue
			}
			seen++
			live := s.processes[member.ID]
			if live == nil || live.node.Self().Writer != member.Writer || member.State != Alive {
				return fmt.Sprintf("%s has member %+v", id, member)
			}
		}
		if seen != len(s.processes) {
			return fmt.Sprintf("%s sees %d of %d live processes", id, seen, len(s.processes))
		}
	}
	return ""
}

func (s *simulation) requireConvergence(limit int) {
	for range limit {
		if s.disagreement() == "" {
			return
		}
		s.run(1)
	}
	assert.Equal(s.t, s.disagreement(), "")
}

// countDead returns the number of live processes that consider the node dead.
func (s *simulation) countDead(id string) int {
	count := 0
	for _, p := range s.processes {
		if m := p.node.members[id]; m != nil && m.update.State == Dead {
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
