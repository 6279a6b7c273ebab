package hosted

import (
	"context"
	"net/netip"
	"time"

	"github.com/corkpulley/corkpulley/internal/leadership"
)

// leaseOptions say how this node asks for the leader's lease.
func (n *node) leaseOptions() leadership.Options {
	return leadership.Options{
		Holder: n.holder, Node: n.config.Node.ID, Address: exclusiveAddress(n.config.Listen.Peers),
		TTL: time.Duration(n.config.Hosted.Lease), ClaimDelay: claimDelay(n.config.Node.Processors),
		Quiet: time.Duration(n.config.Hosted.OrderQuiet), EnginesFence: n.config.Hosted.EnginesFence,
		Eligible: n.mayLead,
		Budget:   n.directory.Budget(), Behind: n.metrics.recordBehind, Logger: n.logger,
	}
}

// versionWait bounds how long a node that may lead waits until it knows the cluster version: where the log serves all
// else, a cluster without a leader is worse than one led by a node that learns later that its build is too old.
const versionWait = 3 * time.Second

// weakDelay is how long a node with hardly any processor leaves a free lease to
// others.
const weakDelay = 150 * time.Millisecond

// claimDelay is longer the smaller a node's share of a processor is: a leader runs
// the items of all jobs. A node that does not know its share counts as whole.
func claimDelay(processors float64) time.Duration {
	if processors <= 0 || processors >= 1 {
		return 0
	}
	return time.Duration((1 - processors) * float64(weakDelay))
}

// exclusiveAddress is the address that a process listens on, if no process of another machine can: empty
// where it is loopback, all addresses of the machine, or a port that the system chooses.
func exclusiveAddress(listen string) string {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Port() == 0 || address.Addr().IsLoopback() || address.Addr().IsUnspecified() {
		return ""
	}
	return listen
}

// whenCurrent returns an election that begins once the node knows what a leader must know.
func (n *node) whenCurrent(elect func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, loaded := range []<-chan struct{}{n.control.Loaded(), n.engines.Loaded()} {
			select {
			case <-ctx.Done():
				return nil
			case <-loaded:
			}
		}
		awaitAtMost(ctx, n.ended.Loaded(), crashesWait)
		awaitAtMost(ctx, n.clusterVersion.Known(), versionWait)
		if ctx.Err() != nil {
			return nil
		}
		return elect(ctx)
	}
}

// awaitAtMost waits until the channel is closed, ctx ends or the time is over.
func awaitAtMost(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}
