package hosted

import (
	"context"
	"sync"
	"time"
)

const (
	// takenOut is the time after which a node that is not ready gets no new
	// connections: two questions a second apart, and some slack.
	takenOut = 2600 * time.Millisecond
	// exitSlack is what is left of the grace period when the process ends.
	exitSlack = 700 * time.Millisecond
	// minRoleTime is the least time that the roles have to end; as much is left to the
	// process after them.
	minRoleTime = exitSlack / 2
	// releaseTimeout bounds giving up the leadership, for which the last part of
	// the grace period is kept.
	releaseTimeout = 1500 * time.Millisecond
)

// stop carries out the planned stop: no longer ready, requests answered until
// none comes any more or the grace period is nearly over, and then the
// leadership released. It is kept until then, since in a rolling restart all
// other nodes may be stopping or starting. It returns the time that the roles, told to
// end, still have: they write what is left, and the log may be slow to take it.
func (n *node) stop(stopRoles context.CancelFunc) time.Duration {
	began := time.Now()
	n.state.beginStop()
	n.logger.Info().Int64("in_flight", n.callers.inFlight.Load()).Msg("node stopping")
	grace := n.state.graceTime()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitSlack))
	defer cancel()
	n.elector.Hesitate()
	n.homeRunners.Hesitate()
	timer := time.NewTimer(time.Until(began.Add(min(takenOut, grace/2))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		n.callers.drain(ctx)
	}()
	n.releaseOnce(ctx, drained, began.Add(grace-exitSlack-releaseTimeout))
	<-drained
	_ = n.callers.http.Shutdown(ctx)
	stopRoles()
	_ = n.operators.http.Close()
	_ = n.peers.http.Close()
	_ = n.callers.http.Close()
	n.logger.Info().Dur("took_ms", time.Since(began)).Int64("in_flight", n.callers.inFlight.Load()).Msg("node drained")
	return max(minRoleTime, time.Until(began.Add(grace-minRoleTime)))
}

// releaseOnce gives up the leadership once all requests are answered, or when
// just enough of the grace period is left for it.
func (n *node) releaseOnce(ctx context.Context, drained <-chan struct{}, latest time.Time) {
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var released sync.WaitGroup
	released.Go(func() { n.elector.Stop(ctx) })
	released.Go(func() { n.homeRunners.Stop(ctx) })
	released.Wait()
}
