package integration

import (
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

// fault is one kind of failure: begin starts it and returns what ends it.
type fault struct {
	name  string
	begin func(schedule *schedule) (end func())
}

// plannedStop ends when the process has, so it is always ended last: the other
// fault of the pair holds while the node stops, and ends then.
const plannedStop = "node stopped by plan"

func faults() []fault {
	return []fault{
		{"node killed", killNode},
		{"node frozen", freezeNode},
		{plannedStop, stopNode},
		{"engine killed", killEngine},
		{"engine link stalled", stallEngine},
		{"peer links reset", resetPeers},
		{"peer link slow", slowPeer},
		{"node cut from the log", cutLog},
		{"log down", downLog},
		{"append answers lost", loseAnswers},
		{"weight load fails", failLoad},
		{"weight store down", downStore},
		{"chunks repeated", repeatChunks},
	}
}

func killNode(s *schedule) func() {
	node := s.node()
	node.Kill()
	return func() { s.must(node.Start(limit(s.t))) }
}

func freezeNode(s *schedule) func() {
	node := s.node()
	s.must(node.Freeze())
	return func() { s.must(node.Thaw()) }
}

func stopNode(s *schedule) func() {
	node := s.node()
	s.must(node.Signal(syscall.SIGTERM))
	return func() {
		code, err := node.Process().Wait(limit(s.t))
		s.must(err)
		assert.Check(s.t, code == 0, "node %s exited with code %d", node.ID, code)
		s.must(node.Start(limit(s.t)))
	}
}

func killEngine(s *schedule) func() {
	engine := s.engine()
	engine.Kill()
	return func() { s.must(engine.Start(limit(s.t))) }
}

func stallEngine(s *schedule) func() {
	link := s.engine().Link
	s.must(link.Stall())
	return func() { s.must(link.Restore()) }
}

func resetPeers(s *schedule) func() {
	for _, node := range s.deployment.Nodes() {
		s.must(node.PeerLink.Reset())
	}
	return func() {}
}

func slowPeer(s *schedule) func() {
	link := s.node().PeerLink
	s.must(link.SetLatency(30 * time.Millisecond))
	return func() { s.must(link.SetLatency(0)) }
}

func cutLog(s *schedule) func() {
	link := s.node().LogLink
	link.Cut()
	return func() { s.must(link.Restore()) }
}

func downLog(s *schedule) func() {
	s.log.Down = true
	s.controlLog()
	return func() {
		s.log.Down = false
		s.controlLog()
	}
}

func loseAnswers(s *schedule) func() {
	s.log.LoseAnswers, s.log.LateMS = 0.5, 50
	s.controlLog()
	return func() {
		s.log.LoseAnswers, s.log.LateMS = 0, 0
		s.controlLog()
	}
}

// controlLog puts the log's faults in force, several at once if so drawn.
func (s *schedule) controlLog() { s.must(s.deployment.ControlLog(limit(s.t), s.log)) }

func failLoad(s *schedule) func() {
	engine := s.engine()
	failures := 1
	if engine.Running() {
		s.must(engine.Control(limit(s.t), standin.Control{FailNextLoads: &failures}))
	}
	return func() {}
}

func repeatChunks(s *schedule) func() {
	engine := s.engine()
	set := func(on bool) {
		if engine.Running() {
			s.must(engine.Control(limit(s.t), standin.Control{RepeatChunks: &on}))
		}
	}
	set(true)
	return func() { set(false) }
}

func downStore(s *schedule) func() {
	down, up := true, false
	s.must(s.deployment.ControlStore(limit(s.t), weightstore.Control{Down: &down}))
	return func() { s.must(s.deployment.ControlStore(limit(s.t), weightstore.Control{Down: &up})) }
}

// compatible keeps two faults from ending the same machine twice.
func (s *schedule) compatible(first, second fault) bool {
	for _, machine := range []string{"node", "engine"} {
		if isProcessFault(first, machine) && isProcessFault(second, machine) {
			return false
		}
	}
	return true
}

func isProcessFault(candidate fault, machine string) bool {
	switch candidate.name {
	case machine + " killed", machine + " frozen":
		return true
	default:
		return machine == "node" && candidate.name == plannedStop
	}
}
