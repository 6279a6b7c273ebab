package integration

import (
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

// fault is one kind of failure; begin injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(schedule *schedule) (end func())
}

// plannedStop ends only when the process has exited, so in a pair of faults it must be ended last.
const plannedStop = "node stopped by plan"

func faults() []fault {
	return []fault{
		{"node killed", killNode},
		{"node frozen", freezeNode},
		{plannedStop, stopNode},
		{"engine killed", killEngine},
		{"engine link stalled", stallEngineLink},
		{"peer links reset", resetPeerLinks},
		{"peer link slow", slowPeerLink},
		{"node cut from the log", cutLogLink},
		{"log down", stopLog},
		{"append answers lost", loseAppendAnswers},
		{"weight load fails", failWeightLoad},
		{"weight store down", stopWeightStore},
		{"chunks repeated", repeatChunks},
	}
}

func killNode(s *schedule) func() {
	node := s.node()
	node.Kill()
	return func() { s.must(node.Start(waitContext(s.t))) }
}

func freezeNode(s *schedule) func() {
	node := s.node()
	s.must(node.Suspend())
	return func() { s.must(node.Resume()) }
}

func stopNode(s *schedule) func() {
	node := s.node()
	s.must(node.Signal(syscall.SIGTERM))
	return func() {
		code, err := node.Process().Wait(waitContext(s.t))
		s.must(err)
		assert.Check(s.t, code == 0, "node %s exited with code %d", node.ID, code)
		s.must(node.Start(waitContext(s.t)))
	}
}

func killEngine(s *schedule) func() {
	engine := s.engine()
	engine.Kill()
	return func() { s.must(engine.Start(waitContext(s.t))) }
}

func stallEngineLink(s *schedule) func() {
	link := s.engine().Link
	s.must(link.Stall())
	return func() { s.must(link.Restore()) }
}

func resetPeerLinks(s *schedule) func() {
	for _, node := range s.deployment.Nodes() {
		s.must(node.PeerLink.Reset())
	}
	return func() {}
}

func slowPeerLink(s *schedule) func() {
	link := s.node().PeerLink
	s.must(link.SetLatency(30 * time.Millisecond))
	return func() { s.must(link.SetLatency(0)) }
}

func cutLogLink(s *schedule) func() {
	link := s.node().LogLink
	link.Cut()
	return func() { s.must(link.Restore()) }
}

func stopLog(s *schedule) func() {
	s.logFaults.Down = true
	s.controlLog()
	return func() {
		s.logFaults.Down = false
		s.controlLog()
	}
}

func loseAppendAnswers(s *schedule) func() {
	s.logFaults.LoseAnswers, s.logFaults.LateMS = 0.5, 50
	s.controlLog()
	return func() {
		s.logFaults.LoseAnswers, s.logFaults.LateMS = 0, 0
		s.controlLog()
	}
}

// controlLog applies all faults of the log that are currently injected.
func (s *schedule) controlLog() { s.must(s.deployment.ControlLog(waitContext(s.t), s.logFaults)) }

func failWeightLoad(s *schedule) func() {
	engine := s.engine()
	failures := 1
	if engine.Running() {
		s.must(engine.Control(waitContext(s.t), standin.Control{FailNextLoads: &failures}))
	}
	return func() {}
}

func repeatChunks(s *schedule) func() {
	engine := s.engine()
	set := func(on bool) {
		if engine.Running() {
			s.must(engine.Control(waitContext(s.t), standin.Control{RepeatChunks: &on}))
		}
	}
	set(true)
	return func() { set(false) }
}

func stopWeightStore(s *schedule) func() {
	down, up := true, false
	s.must(s.deployment.ControlStore(waitContext(s.t), weightstore.Control{Down: &down}))
	return func() { s.must(s.deployment.ControlStore(waitContext(s.t), weightstore.Control{Down: &up})) }
}

// compatible reports whether two faults can be injected together: they must not both stop a node or an engine.
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
