package membership

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

// detectionTicks bounds the time until a failure is detected: 4 s at 100 ms per tick.
const detectionTicks = 40

func TestCrashedNodeIsDeclaredDeadByAll(t *testing.T) {
	forSeeds(t, 20, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 25)
		s.requireConvergence(200)
		s.crash("node-07")
		s.run(detectionTicks)
		assert.Equal(t, s.countDead("node-07"), 24)
		s.requireConvergence(1)
	})
}

func TestFrozenNodeIsDeclaredDeadAndRejoins(t *testing.T) {
	forSeeds(t, 10, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 9)
		s.requireConvergence(200)
		s.processes["node-03"].frozen = true
		s.run(detectionTicks)
		assert.Equal(t, s.countDead("node-03"), 8)
		s.processes["node-03"].frozen = false
		s.requireConvergence(300)
	})
}

func TestNoFalseDeathsWithLossAndDelay(t *testing.T) {
	forSeeds(t, 10, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 12)
		s.requireConvergence(200)
		s.loss, s.maxDelay = 0.05, 1
		for range 600 {
			s.run(1)
			for _, id := range s.ids {
				assert.Equal(t, s.countDead(id), 0)
			}
		}
	})
}

func TestLeaveAndStop(t *testing.T) {
	s := newSimulation(t, 1, 7)
	s.requireConvergence(200)
	leaver := s.processes["node-02"].node
	leaver.Leave()
	s.run(15)
	for _, p := range s.processes {
		m := p.node.members["node-02"]
		assert.Assert(t, m == nil || m.update.Leaving && m.update.State == Alive)
	}
	leaver.Stop()
	s.run(15)
	assert.Equal(t, s.countDead("node-02"), 6)
}

func TestDeadNodesAreRemovedAfterRetention(t *testing.T) {
	s := newSimulation(t, 1, 5)
	s.requireConvergence(200)
	const retention = 600
	for _, p := range s.processes {
		p.node.config.RetentionTicks = retention
	}
	s.crash("node-02")
	s.run(detectionTicks + retention + syncTicks + 100)
	for _, p := range s.processes {
		assert.Assert(t, p.node.members["node-02"] == nil)
	}
}

func TestEarlierProcessIsSuperseded(t *testing.T) {
	s := newSimulation(t, 1, 5)
	s.requireConvergence(200)
	old := s.processes["node-02"]
	s.run(100)
	s.start("node-02", old.node.Self().Incarnation+1)
	s.requireConvergence(200)
	fresh := s.processes["node-02"]
	s.processes["node-02"] = old
	s.run(50)
	assert.Assert(t, old.node.Superseded())
	s.processes["node-02"] = fresh
	s.requireConvergence(200)
}

// Guards against a planned stop of a superseded process that is taken as an update of its successor.
func TestSupersededProcessDoesNotAnnounceItsStop(t *testing.T) {
	s := newSimulation(t, 1, 5)
	s.requireConvergence(200)
	old := s.processes["node-02"]
	s.run(100)
	s.start("node-02", old.node.Self().Incarnation+1)
	s.requireConvergence(200)
	fresh := s.processes["node-02"]
	s.processes["node-02"] = old
	s.run(50)
	assert.Assert(t, old.node.Superseded())
	old.node.Leave()
	s.run(5)
	old.node.Stop()
	s.run(15)
	assert.Equal(t, s.countDead("node-02"), 0)
	s.processes["node-02"] = fresh
	s.requireConvergence(200)
	assert.Assert(t, !fresh.node.Superseded())
}

func TestInvalidConfigAndUpdates(t *testing.T) {
	_, err := New(DefaultConfig(Update{}, 1))
	assert.ErrorContains(t, err, "self needs")
	node, err := New(DefaultConfig(Update{ID: "a", Writer: "w", Address: "10.0.0.1:7000"}, 1))
	assert.NilError(t, err)
	node.Merge([]Update{{}, {ID: "b", Address: "10.0.0.2:7000", State: 9}})
	assert.Equal(t, len(node.Members()), 1)
}

// Guards against member lists that do not converge once the faults end. The simulation also checks the invariants
// at every tick.
func TestConvergenceAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "size"))
		s.requireConvergence(400)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			drawFault(t, s)
			s.run(rapid.IntRange(1, 80).Draw(t, "ticks"))
		}
		s.loss, s.maxDelay = 0, 0
		clear(s.partitions)
		for _, p := range s.processes {
			p.frozen = false
		}
		s.requireConvergence(1500)
	})
}

func drawFault(t *rapid.T, s *simulation) {
	id := rapid.SampledFrom(s.ids).Draw(t, "node")
	p := s.processes[id]
	switch rapid.SampledFrom([]string{"loss", "partition", "heal", "crash", "restart", "freeze", "thaw"}).Draw(t, "fault") {
	case "loss":
		s.loss, s.maxDelay = rapid.Float64Range(0, 0.4).Draw(t, "loss"), rapid.IntRange(0, 4).Draw(t, "delay")
	case "partition":
		for _, member := range s.ids {
			s.partitions[member] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case "heal":
		clear(s.partitions)
	case "crash":
		if len(s.processes) > 1 {
			s.crash(id)
		}
	case "restart":
		s.start(id, s.highestIncarnation[id]+1)
	case "freeze":
		if p != nil {
			p.frozen = true
		}
	case "thaw":
		if p != nil {
			p.frozen = false
		}
	}
}
