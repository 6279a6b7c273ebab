package hosted

import (
	"context"
	"net/netip"
	"time"

	"github.com/corkpulley/corkpulley/internal/leadership"
)

// leaseOptions returns the options of the leader lease.
func (n *node) leaseOptions() leadership.Options {
	return leadership.Options{
		Holder: n.holder, Node: n.config.Node.ID, Address: exclusiveAddress(n.config.Listen.Peers),
		TTL: time.Duration(n.config.Hosted.Lease), ClaimDelay: claimDelay(n.config.Node.Processors),
		QuietPeriod: time.Duration(n.config.Hosted.OrderQuiet), EnginesFence: n.config.Hosted.EnginesFence,
		Eligible: n.mayLead,
		Budget:   n.directory.Budget(), OnSuperseded: n.metrics.staleLeaseRecord, Logger: n.logger,
	}
}

// versionWait bounds how long a candidate waits for the cluster version. A cluster without a leader is worse than a
// leader that learns later that its build is too old.
const versionWait = 3 * time.Second

// maxClaimDelay is the delay before a node with almost no CPU share claims a free lease.
const maxClaimDelay = 150 * time.Millisecond

// claimDelay returns the delay before this node claims a free lease. It grows as the node's CPU share shrinks,
// since a leader runs the items of all jobs. An unknown share counts as a full CPU.
func claimDelay(processors float64) time.Duration {
	if processors <= 0 || processors >= 1 {
		return 0
	}
	return time.Duration((1 - processors) * float64(maxClaimDelay))
}

// exclusiveAddress returns the listen address if no process on another machine can listen on it too, otherwise "":
// for loopback and unspecified addresses, and for ports chosen by the system.
func exclusiveAddress(listen string) string {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Port() == 0 || address.Addr().IsLoopback() || address.Addr().IsUnspecified() {
		return ""
	}
	return listen
}

// afterFirstRead returns an election that starts once the node has read the state that a leader needs.
func (n *node) afterFirstRead(elect func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, loaded := range []<-chan struct{}{n.controlFollower.Loaded(), n.engineFollower.Loaded()} {
			select {
			case <-ctx.Done():
				return nil
			case <-loaded:
			}
		}
		awaitWithTimeout(ctx, n.crashFollower.Loaded(), firstReadWait(n.crashFollower))
		awaitWithTimeout(ctx, n.clusterVersion.Known(), versionWait)
		if ctx.Err() != nil {
			return nil
		}
		return elect(ctx)
	}
}

// awaitWithTimeout waits until done is closed, ctx ends or the limit has passed.
func awaitWithTimeout(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}
