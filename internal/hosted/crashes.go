package hosted

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/logrelay"
)

// crashesWait is how long a node that knows its configuration waits until it has read under
// which requests engines ended: one read of the log, and one more after a failure.
const crashesWait = 3 * time.Second

// newGuard returns what keeps requests under which engines ended away from the others.
func (n *node) newGuard(log eventlog.Log) *crashes.Guard {
	watch := crashes.NewWatch(crashes.Options{
		Prober: n.platform.Engines(), Fleet: n.fleet, Logger: n.logger, Observe: n.metrics.connectionLost,
	})
	peers := crashes.NewPeers(n.directory.Peers, logrelay.NewClient(), n.logger)
	return crashes.NewGuard(crashes.GuardOptions{
		Watch: watch, Log: log, Topic: n.platform.CrashTopic(), Unwritten: peers.Tell,
		Observe: n.metrics.requestsSuspected, Logger: n.logger,
	})
}

// knowsCrashes tells whether the node has read under which requests engines ended. Where the
// log tells the configuration but not that, the node does not wait for it any longer.
func (n *node) knowsCrashes() bool {
	return n.ended.IsLoaded() || n.state.configuredFor() > crashesWait
}
