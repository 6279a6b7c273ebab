package hosted

import (
	"context"
	"time"
)

const (
	// takenOut is the time after which a node that is not ready gets no new
	// connections: two questions a second apart, and some slack.
	takenOut = 2600 * time.Millisecond
	// exitSlack is what is left of the grace period when the process ends.
	exitSlack = 700 * time.Millisecond
	// releaseTimeout bounds giving up the leadership.
	releaseTimeout = 1500 * time.Millisecond
)

// stop carries out the planned stop: no longer ready, leadership released, and
// requests answered until none comes any more or the grace period is over.
func (n *node) stop(stopRoles context.CancelFunc) {
	began := time.Now()
	n.state.beginStop()
	n.logger.Info().Int64("in_flight", n.callers.inFlight.Load()).Msg("node stopping")
	grace := n.state.graceTime()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitSlack))
	defer cancel()
	release, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	n.elector.Stop(release)
	cancelRelease()
	timer := time.NewTimer(time.Until(began.Add(min(takenOut, grace/2))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	n.callers.drain(ctx)
	_ = n.callers.http.Shutdown(ctx)
	stopRoles()
	_ = n.operators.http.Close()
	_ = n.peers.http.Close()
	_ = n.callers.http.Close()
	n.logger.Info().Dur("took_ms", time.Since(began)).Int64("in_flight", n.callers.inFlight.Load()).Msg("node drained")
}
