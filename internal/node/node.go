// Package node wires the roles of one corkpulley process: listeners, the peer
// transport, the cluster, the table in force, dispatchers, coordinators and the
// gateway; it runs them and carries out the planned stop.
package node

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/xid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/settings"
)

// Run runs a daemon with checked settings until ctx ends or an operator drains
// it, and then until the planned stop is complete. Logs are written as JSON lines.
func Run(ctx context.Context, config settings.Settings, logs io.Writer) error {
	n, err := newNode(config, newLogger(config, logs))
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// node is one running daemon.
type node struct {
	config   settings.Settings
	logger   zerolog.Logger
	registry *prometheus.Registry
	// writer identifies this process start in the log and in the cluster.
	writer  string
	clients platformClients
	roles   roles
	callers *server
	admin   *server

	// stopRequested is closed when an operator asks for the planned stop.
	stopRequested chan struct{}
	requestStop   sync.Once
}

func newNode(config settings.Settings, logger zerolog.Logger) (*node, error) {
	n := &node{
		config:        config,
		logger:        logger,
		registry:      newMetricsRegistry(),
		writer:        config.Node.ID + "-" + xid.New().String(),
		clients:       newPlatformClients(config.Platform),
		stopRequested: make(chan struct{}),
	}
	if err := n.buildRoles(); err != nil {
		return nil, err
	}
	if err := n.buildServers(); err != nil {
		return nil, err
	}
	return n, nil
}

// drain asks for the planned stop; it may be called more than once.
func (n *node) drain() {
	n.requestStop.Do(func() { close(n.stopRequested) })
}

// run serves until a stop is asked for. Roles keep running during the planned
// stop, because requests in hand still need them.
func (n *node) run(ctx context.Context) error {
	roleContext, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	group, groupContext := errgroup.WithContext(roleContext)
	if err := n.roles.transport.Start(); err != nil {
		return errors.Wrap(err, "start the peer transport")
	}
	n.startRoles(groupContext, group)
	group.Go(n.callers.serve)
	group.Go(n.admin.serve)
	n.logger.Info().
		Str("callers", n.callers.address()).
		Str("peers", n.roles.transport.Address()).
		Str("operators", n.admin.address()).
		Str("writer", n.writer).
		Msg("listening")

	select {
	case <-ctx.Done():
	case <-n.stopRequested:
	case <-groupContext.Done():
	}
	stopError := n.stop(stopRoles)
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return stopError
}

// startRoles runs each role; a role that fails ends the daemon, since its peers
// and its operators must not take it for a whole node.
func (n *node) startRoles(ctx context.Context, group *errgroup.Group) {
	for name, run := range n.roles.loops() {
		group.Go(func() error {
			err := run(ctx)
			if err == nil || ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, name)
		})
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
	err = errors.Join(err, n.roles.close(ctx))
	stopRoles()
	err = errors.Join(err, n.admin.shutdown(ctx))
	n.logger.Info().Err(err).Dur("duration_ms", time.Since(started)).Msg("planned stop ends")
	return err
}
