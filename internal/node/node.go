// Package node assembles and runs the components of a corkpulley process: HTTP
// servers, the peer transport, the cluster, the policy table, the dispatcher,
// coordinators and the gateway. It also implements graceful shutdown.
package node

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/xid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/settings"
)

// errSuperseded is returned when another process has taken this node's ID: the
// other nodes ignore this process from then on, so it must not accept work.
var errSuperseded = errors.New("another process took this node's ID")

// Run runs a node with validated settings until ctx is done, an operator drains it
// or another process takes its node ID, and then shuts it down gracefully. It
// returns nil after a requested shutdown. Logs are written as JSON lines.
func Run(ctx context.Context, config settings.Settings, logs io.Writer) error {
	n, err := newNode(config, newLogger(config, logs))
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// node is a running node.
type node struct {
	config   settings.Settings
	logger   zerolog.Logger
	registry *prometheus.Registry
	// writer identifies this process in the log and in the cluster; a restarted
	// process has another one.
	writer     string
	clients    platformClients
	components components
	// listeners are the connections of all listeners, which share the node's memory and descriptors.
	listeners         boundedhttp.Listeners
	connectionMetrics *boundedhttp.Metrics
	callers           *boundedhttp.Server
	admin             *boundedhttp.Server

	// stopRequested is closed when a graceful shutdown is requested or begins.
	stopRequested chan struct{}
	stopOnce      sync.Once
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
	n.listeners = boundedhttp.NewListeners(config.Node, boundedhttp.NewBudget(config.Node))
	n.connectionMetrics = boundedhttp.NewMetrics("corkpulley")
	n.connectionMetrics.SetListeners(n.listeners)
	n.registry.MustRegister(n.connectionMetrics)
	if err := n.buildComponents(); err != nil {
		return nil, err
	}
	if err := n.buildServers(); err != nil {
		return nil, err
	}
	return n, nil
}

// requestStop requests a graceful shutdown; it may be called more than once.
func (n *node) requestStop() {
	n.stopOnce.Do(func() { close(n.stopRequested) })
}

// run serves until a shutdown is requested. Components keep running during the
// shutdown, because pending requests still need them.
func (n *node) run(ctx context.Context) error {
	componentContext, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, groupContext := errgroup.WithContext(componentContext)
	if err := n.components.transport.Start(); err != nil {
		return errors.Wrap(err, "start the peer transport")
	}
	n.startComponents(groupContext, group)
	group.Go(n.callers.Serve)
	group.Go(n.admin.Serve)
	n.logger.Info().
		Str("callers", n.callers.Address()).
		Str("peers", n.components.transport.Address()).
		Str("operators", n.admin.Address()).
		Str("writer", n.writer).
		Msg("listening")

	reason := n.awaitShutdown(ctx, groupContext)
	stopError := n.shutDown(stopComponents)
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return errors.Join(reason, stopError)
}

// awaitShutdown waits until the node has to stop. It returns errSuperseded if another
// process has taken the node's ID, otherwise nil.
func (n *node) awaitShutdown(ctx, componentContext context.Context) error {
	select {
	case <-n.components.cluster.Superseded():
		n.logger.Error().Err(errSuperseded).Str("writer", n.writer).Msg("superseded, this process stops by plan")
		return errSuperseded
	case <-ctx.Done():
	case <-n.stopRequested:
	case <-componentContext.Done():
	}
	return nil
}

// startComponents runs each component in a goroutine. One that fails stops the
// node, which must not appear healthy to peers and operators without it.
func (n *node) startComponents(ctx context.Context, group *errgroup.Group) {
	for name, run := range n.components.loops() {
		group.Go(func() error {
			err := run(ctx)
			if err == nil || ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, name)
		})
	}
}
