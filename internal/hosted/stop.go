package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/ingress"
)

const (
	// deregistrationTime is the time after which a node that is not ready gets no new connections: two readiness
	// checks at an interval of one second, plus a margin.
	deregistrationTime = 2600 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the exit of the process.
	exitReserve = 700 * time.Millisecond
	// minTaskTime is the minimum time for the background tasks to end; the same time remains for the exit of the
	// process.
	minTaskTime = exitReserve / 2
	// answerReserve is the part of the grace period before exitReserve in which requests that have not ended are answered
	// with an error.
	answerReserve = 150 * time.Millisecond
	// refusalReserve is the part of the grace period before exitReserve in which no request waits for an engine any more:
	// one that is refused then can be answered, and one that is sent has time to complete.
	refusalReserve = time.Second
	// releaseTimeout bounds the release of leases, for which the end of the grace period is reserved.
	releaseTimeout = 1500 * time.Millisecond
)

// stop performs the planned stop: it reports not ready, serves requests until there are none left or the grace
// period is nearly over, and then releases leadership. Leadership is kept that long because in a rolling restart
// all other nodes may be stopping or starting. It returns the time that the canceled background tasks have to
// write their remaining records to a possibly slow log.
//
// Once the platform sends new connections to other nodes, kept ones are closed too, and requests that may not end in time are
// refused as not executed. All others are answered before the end, if only with an error.
func (n *node) stop(stopTasks context.CancelFunc) time.Duration {
	began := time.Now()
	grace := n.state.gracePeriod()
	deregistered, answered := min(deregistrationTime, grace/2), grace-exitReserve-answerReserve
	n.state.beginStop(began.Add(answered))
	n.relay.BeginStop(deregistered, answered)
	n.logger.Info().Int64("in_flight", n.callers.InFlight()).Msg("node stopping")
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitReserve))
	defer cancel()
	refusal := time.AfterFunc(time.Until(began.Add(grace-exitReserve-refusalReserve)), n.relay.RefuseWaiting)
	defer refusal.Stop()
	n.elector.DeferClaims()
	n.regionElections.DeferClaims()
	answering := time.AfterFunc(time.Until(began.Add(answered)), func() { n.callers.CancelRequests(ingress.ErrStopEnds) })
	defer answering.Stop()
	timer := time.NewTimer(time.Until(began.Add(deregistered)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	n.callers.CloseIdle()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		n.callers.Drain(ctx)
	}()
	n.releaseWhenDrained(ctx, drained, began.Add(grace-exitReserve-releaseTimeout))
	<-drained
	_ = n.callers.Shutdown(ctx)
	stopTasks()
	_ = n.operators.Close()
	_ = n.peers.Close()
	_ = n.callers.Close()
	n.logger.Info().Dur("took_ms", time.Since(began)).Int64("in_flight", n.callers.InFlight()).Msg("node drained")
	return max(minTaskTime, time.Until(began.Add(grace-minTaskTime)))
}

// releaseWhenDrained releases leadership once drained is closed, or at the time given by latest, whichever comes first.
func (n *node) releaseWhenDrained(ctx context.Context, drained <-chan struct{}, latest time.Time) {
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
	released.Go(func() { n.regionElections.Stop(ctx) })
	released.Wait()
}
