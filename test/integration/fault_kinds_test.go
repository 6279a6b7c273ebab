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
	begin func(inj *faultInjector) (end func())
}

// plannedStop ends only when the process has exited, so it must be the second fault of a pair.
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

func killNode(inj *faultInjector) func() {
	node := inj.node()
	node.Kill()
	return func() { inj.must(node.Start(waitContext(inj.t))) }
}

func freezeNode(inj *faultInjector) func() {
	node := inj.node()
	inj.must(node.Suspend())
	return func() { inj.must(node.Resume()) }
}

func stopNode(inj *faultInjector) func() {
	node := inj.node()
	inj.must(node.Signal(syscall.SIGTERM))
	return func() {
		code, err := node.Process().Wait(waitContext(inj.t))
		inj.must(err)
		assert.Check(inj.t, code == 0, "node %s exited with code %d", node.ID, code)
		inj.must(node.Start(waitContext(inj.t)))
	}
}

func killEngine(inj *faultInjector) func() {
	engine := inj.engine()
	engine.Kill()
	return func() { inj.must(engine.Start(waitContext(inj.t))) }
}

func stallEngineLink(inj *faultInjector) func() {
	link := inj.engine().Link
	inj.must(link.Stall())
	return func() { inj.must(link.Restore()) }
}

func resetPeerLinks(inj *faultInjector) func() {
	for _, node := range inj.deployment.Nodes() {
		inj.must(node.PeerLink.Reset())
	}
	return func() {}
}

func slowPeerLink(inj *faultInjector) func() {
	link := inj.node().PeerLink
	inj.must(link.SetLatency(30 * time.Millisecond))
	return func() { inj.must(link.SetLatency(0)) }
}

func cutLogLink(inj *faultInjector) func() {
	link := inj.node().LogLink
	link.Cut()
	return func() { inj.must(link.Restore()) }
}

func stopLog(inj *faultInjector) func() {
	inj.logFaults.Down = true
	inj.controlLog()
	return func() {
		inj.logFaults.Down = false
		inj.controlLog()
	}
}

func loseAppendAnswers(inj *faultInjector) func() {
	inj.logFaults.LostResponseShare, inj.logFaults.EffectDelayMS = 0.5, 50
	inj.controlLog()
	return func() {
		inj.logFaults.LostResponseShare, inj.logFaults.EffectDelayMS = 0, 0
		inj.controlLog()
	}
}

// controlLog applies all faults of the log that are currently injected.
func (inj *faultInjector) controlLog() {
	inj.must(inj.deployment.ControlLog(waitContext(inj.t), inj.logFaults))
}

func failWeightLoad(inj *faultInjector) func() {
	engine := inj.engine()
	failures := 1
	if engine.Running() {
		inj.must(engine.Control(waitContext(inj.t), standin.Control{FailNextLoads: &failures}))
	}
	return func() {}
}

func repeatChunks(inj *faultInjector) func() {
	engine := inj.engine()
	set := func(on bool) {
		if engine.Running() {
			inj.must(engine.Control(waitContext(inj.t), standin.Control{RepeatChunks: &on}))
		}
	}
	set(true)
	return func() { set(false) }
}

func stopWeightStore(inj *faultInjector) func() {
	down, up := true, false
	inj.must(inj.deployment.ControlStore(waitContext(inj.t), weightstore.Control{Down: &down}))
	return func() { inj.must(inj.deployment.ControlStore(waitContext(inj.t), weightstore.Control{Down: &up})) }
}

// compatible reports whether two faults can be injected together: they must not both stop a node or an engine.
func (inj *faultInjector) compatible(first, second fault) bool {
	for _, target := range []string{"node", "engine"} {
		if isProcessFault(first, target) && isProcessFault(second, target) {
			return false
		}
	}
	return true
}

func isProcessFault(candidate fault, target string) bool {
	switch candidate.name {
	case target + " killed", target + " frozen":
		return true
	default:
		return target == "node" && candidate.name == plannedStop
	}
}
