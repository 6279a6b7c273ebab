package hosted

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/logrelay"
)

// crashReadWait bounds how long a configured node waits for the crash records: enough for one read of the log and
// one retry.
const crashReadWait = 3 * time.Second

// newCrashGuard returns the guard that quarantines requests during which engines crashed.
func (n *node) newCrashGuard(log eventlog.Log) *crashes.Guard {
	detector := crashes.NewDetector(crashes.Options{
		Prober: n.platform.Engines(), Fleet: n.fleet, Logger: n.logger, OnConnectionLost: n.metrics.connectionLost,
	})
	peers := crashes.NewPeers(n.directory.PeerAddresses, logrelay.NewClient(), n.logger)
	return crashes.NewGuard(crashes.GuardOptions{
		Detector: detector, Log: log, Topic: n.platform.CrashTopic(), OnUnwritten: peers.Send,
		OnRequestCount: n.metrics.requestsSuspected, Logger: n.logger,
	})
}

// crashesKnown reports whether the crash records have been read, or the node has waited for them for crashReadWait
// since it was configured.
func (n *node) crashesKnown() bool {
	if n.crashFollower.IsLoaded() {
		return true
	}
	waited := n.state.configuredFor()
	if waited <= crashReadWait {
		return false
	}
	n.logMissingCrashRecords.Do(func() {
		n.logger.Warn().Int64("waited_ms", waited.Milliseconds()).Msg("serving without crash records")
	})
	return true
}
