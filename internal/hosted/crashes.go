package hosted

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/logrelay"
)

// fullReadTime is the time in which a full read of a small topic succeeds or fails.
const fullReadTime = 1800 * time.Millisecond

// firstReadWait returns how long to wait for a follower's first full read: enough for an attempt that begins after the
// longest delay between two attempts.
func firstReadWait(follower *follow.Follower) time.Duration {
	return follower.MaxFirstReadDelay() + fullReadTime
}

// newCrashDetector returns the detector of engines that crash during requests and items.
func (n *node) newCrashDetector() *crashes.Detector {
	return crashes.NewDetector(crashes.Options{
		Prober: n.platform.Engines(), Fleet: n.fleet, Logger: n.logger, OnConnectionLost: n.metrics.connectionLost,
	})
}

// newCrashGuard returns the guard that quarantines live requests during which engines crashed.
func (n *node) newCrashGuard(log eventlog.Log) *crashes.Guard {
	peers := crashes.NewPeers(n.directory.PeerAddresses, logrelay.NewClient(), n.logger)
	return crashes.NewGuard(crashes.GuardOptions{
		Detector: n.crashDetector, Log: log, Topic: n.platform.CrashTopic(), OnUnwritten: peers.Send,
		OnRequestCount: n.metrics.requestsSuspected, Logger: n.logger,
	})
}

// crashesKnown reports whether the crash records have been read, or the node has waited for them for
// firstReadWait since it was configured: the configuration is in the same log, so that log can be read.
func (n *node) crashesKnown() bool {
	if n.crashFollower.IsLoaded() {
		return true
	}
	waited := n.state.configuredFor()
	if waited <= firstReadWait(n.crashFollower) {
		return false
	}
	n.logMissingCrashRecords.Do(func() {
		n.logger.Warn().Int64("waited_ms", waited.Milliseconds()).Msg("serving without crash records")
	})
	return true
}
