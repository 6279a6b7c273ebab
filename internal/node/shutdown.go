package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// bestEffortTimeout limits each best-effort step of the shutdown: appending the
// final records to the log and announcing to peers that this node has left.
const bestEffortTimeout = 5 * time.Second

// shutdownStep is a named step of the graceful shutdown.
type shutdownStep struct {
	name string
	run  func(context.Context) error
}

// do runs the step and wraps its error with the step's name.
func (s shutdownStep) do(ctx context.Context) error {
	if err := s.run(ctx); err != nil {
		return errors.Wrap(err, s.name)
	}
	return nil
}

// runBestEffort runs a best-effort step, limited to bestEffortTimeout. A failure is
// logged and does not fail the shutdown.
func (n *node) runBestEffort(ctx context.Context, step shutdownStep) {
	ctx, cancel := context.WithTimeout(ctx, bestEffortTimeout)
	defer cancel()
	if err := step.do(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("planned stop goes on without a step")
	}
}

// shutDown shuts down gracefully: it announces that this node is leaving, rejects new
// work, completes pending work, releases owned streams, and then stops the components.
func (n *node) shutDown(stopComponents context.CancelFunc) error {
	started := time.Now()
	n.requestStop() // marks the node as not ready, whatever caused the shutdown
	n.logger.Info().Msg("planned stop begins")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.Shutdown.Grace))
	defer cancel()
	n.components.cluster.AnnounceLeaving()
	err := n.components.drain(ctx)
	err = errors.Join(err, n.callers.Shutdown(ctx))
	err = errors.Join(err, n.close(ctx))
	stopComponents()
	err = errors.Join(err, n.admin.Shutdown(ctx))
	n.logger.Info().Err(err).Dur("duration_ms", time.Since(started)).Msg("planned stop ends")
	return err
}

// drain rejects new work, completes pending work and releases owned streams.
func (c *components) drain(ctx context.Context) error {
	var group errgroup.Group
	for _, step := range []shutdownStep{
		{"drain the gateway", c.gateway.Drain},
		{"release the ledgers", c.trainers.Drain},
		{"release the weight streams", c.weights.Drain},
		{"drain the dispatcher", c.dispatcher.Drain},
	} {
		group.Go(func() error { return step.do(ctx) })
	}
	err := group.Wait()
	return errors.Join(err, shutdownStep{"finish the keyed requests", c.keyed.Close}.do(ctx))
}

// close closes the log streams, leaves the cluster and closes the transport, in this
// order: releases must reach the log before peers learn that this node has left.
// The log and the peers may be unreachable; no response to a caller depends on
// these steps, so they neither block nor fail the shutdown.
func (n *node) close(ctx context.Context) error {
	n.runBestEffort(ctx, shutdownStep{"close the log streams", n.components.streams.Close})
	n.runBestEffort(ctx, shutdownStep{"leave the cluster", n.components.cluster.Leave})
	return shutdownStep{"close the peer transport", n.components.transport.Close}.do(ctx)
}
