package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// bestEffortTimeout bounds each step of the planned stop that only spares
// others a wait: last records in the log, and the word that this node left.
const bestEffortTimeout = 5 * time.Second

// stopStep is one named part of the planned stop.
type stopStep struct {
	name string
	run  func(context.Context) error
}

// do runs the step and names it in its error.
func (s stopStep) do(ctx context.Context) error {
	if err := s.run(ctx); err != nil {
		return errors.Wrap(err, s.name)
	}
	return nil
}

// tryStep runs a step that is best effort: the stop goes on without it after
// bestEffortTimeout, and its failure, which is logged, does not fail the stop.
func (n *node) tryStep(ctx context.Context, step stopStep) {
	ctx, cancel := context.WithTimeout(ctx, bestEffortTimeout)
	defer cancel()
	if err := step.do(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("planned stop goes on without a step")
	}
}

// stop carries out the planned stop: tell the others, take nothing new, finish
// what is in hand, hand over what is owned, and only then end the roles.
func (n *node) stop(stopRoles context.CancelFunc) error {
	started := time.Now()
	n.drain() // the node is not ready from now on, whatever began the stop
	n.logger.Info().Msg("planned stop begins")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.Shutdown.Grace))
	defer cancel()
	n.roles.cluster.AnnounceLeaving()
	err := n.roles.drain(ctx)
	err = errors.Join(err, n.callers.shutdown(ctx))
	err = errors.Join(err, n.close(ctx))
	stopRoles()
	err = errors.Join(err, n.admin.shutdown(ctx))
	n.logger.Info().Err(err).Dur("duration_ms", time.Since(started)).Msg("planned stop ends")
	return err
}

// drain takes nothing new, finishes what is in hand and releases what is owned.
func (r *roles) drain(ctx context.Context) error {
	var group errgroup.Group
	for _, step := range []stopStep{
		{"drain the gateway", r.gateway.Drain},
		{"release the ledgers", r.trainers.Drain},
		{"release the weight orders", r.weights.Drain},
		{"drain the dispatcher", r.dispatcher.Drain},
	} {
		group.Go(func() error { return step.do(ctx) })
	}
	err := group.Wait()
	return errors.Join(err, stopStep{"finish the keyed requests", r.keyed.Close}.do(ctx))
}

// close ends the log streams, the membership and the transport, in this order:
// releases go to the log first, and the word that this node left goes to its
// peers last. The log and the peers may be out of reach: nothing that a caller
// was told depends on either, so neither holds the stop up nor fails it.
func (n *node) close(ctx context.Context) error {
	n.tryStep(ctx, stopStep{"close the log streams", n.roles.streams.Close})
	n.tryStep(ctx, stopStep{"leave the cluster", n.roles.cluster.Leave})
	return stopStep{"close the peer transport", n.roles.transport.Close}.do(ctx)
}
