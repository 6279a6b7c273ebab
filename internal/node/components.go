package node

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/coordinator"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/dispatcher"
	"github.com/corkpulley/corkpulley/internal/gateway"
	"github.com/corkpulley/corkpulley/internal/keyed"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/router"
	"github.com/corkpulley/corkpulley/internal/tables"
	"github.com/corkpulley/corkpulley/internal/weights"
)

const (
	// configStream is the name of the stream of table revisions.
	configStream = "config"
	// configSnapshotEvery is the number of records between snapshots of the table.
	configSnapshotEvery = 256
)

// components holds the parts of a node; every node runs all of them.
type components struct {
	transport  *peer.Transport
	cluster    *cluster.Cluster
	streams    *logstream.Manager
	tables     *tables.Tables
	dispatcher *dispatcher.Dispatcher
	router     *router.CellRouter
	keyed      *keyed.Executor
	gateway    *gateway.Gateway
	trainers   *coordinator.Coordinator
	weights    *weights.Coordinator
}

// buildComponents creates the components in the order of their dependencies. They
// register their handlers on the transport, which must not have started.
func (n *node) buildComponents() error {
	if err := n.buildCluster(); err != nil {
		return err
	}
	n.buildTables()
	if err := n.buildRequestPath(); err != nil {
		return err
	}
	n.buildCoordinators()
	return nil
}

func (n *node) buildCluster() error {
	n.components.transport = peer.New(peer.Options{
		NodeID:           n.config.Node.ID,
		ListenAddress:    n.config.Listen.Peers,
		AdvertiseAddress: n.config.Advertise.Peers,
		Logger:           n.logger,
		Registerer:       n.registry,
		Connections:      n.listeners.Set,
		Group:            n.listeners.Peers,
		OnClosed:         n.connectionMetrics.OnClosed("peers"),
	})
	if err := n.components.transport.Listen(); err != nil {
		return err
	}
	n.components.cluster = cluster.New(cluster.Options{
		Self: cluster.Member{
			ID:      n.config.Node.ID,
			Writer:  n.writer,
			Address: n.components.transport.Address(),
			Zone:    n.config.Node.Zone,
			State:   cluster.StateAlive,
		},
		Region:        n.config.Node.Region,
		Seeds:         n.config.Cluster.Seeds,
		Caller:        n.components.transport,
		Registry:      n.components.transport,
		Machines:      n.clients.machines,
		ProbeInterval: time.Duration(n.config.Cluster.ProbeInterval),
		Logger:        n.logger,
		Registerer:    n.registry,
	})
	return nil
}

func (n *node) buildTables() {
	n.components.streams = logstream.NewManager(logstream.Options{
		Service:    n.clients.log,
		Writer:     n.writer,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	reducer := &policy.Reducer{}
	stream := n.components.streams.Open(configStream, reducer, logstream.StreamOptions{
		SnapshotEvery:  configSnapshotEvery,
		SnapshotFormat: policy.SnapshotFormat,
	})
	n.components.tables = tables.New(tables.Options{
		Stream:         stream,
		Reducer:        reducer,
		Caller:         n.components.transport,
		Registry:       n.components.transport,
		View:           n.components.cluster,
		Announcer:      n.components.cluster,
		LastLogContact: n.lastLogContact,
		Logger:         n.logger,
	})
}

// lastLogContact returns when this node last read to the end of the config stream.
func (n *node) lastLogContact() time.Time {
	return n.components.streams.LastContact(configStream)
}

func (n *node) buildRequestPath() error {
	schedulingPolicy, err := scheduler.ParsePolicy(n.config.Scheduling.Policy)
	if err != nil {
		return err
	}
	n.components.dispatcher = dispatcher.New(dispatcher.Options{
		NodeID:       n.config.Node.ID,
		PeerAddress:  n.components.transport.Address(),
		Zone:         n.config.Node.Zone,
		Registry:     n.components.transport,
		View:         n.components.cluster,
		Announcer:    n.components.cluster,
		EngineList:   n.components.cluster,
		EngineClient: n.clients.engines,
		Tables:       n.components.tables,
		Policy:       schedulingPolicy,
		Logger:       n.logger,
		Registerer:   n.registry,
	})
	n.components.router = router.New(router.Options{
		NodeID:     n.config.Node.ID,
		Zone:       n.config.Node.Zone,
		Region:     n.config.Node.Region,
		Caller:     n.components.transport,
		View:       n.components.cluster,
		Announcer:  n.components.cluster,
		Tables:     n.components.tables,
		Strategy:   n.config.Scheduling.Policy,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	n.components.keyed = keyed.New(keyed.Options{
		Manager:  n.components.streams,
		View:     n.components.cluster,
		Caller:   n.components.transport,
		Registry: n.components.transport,
		Router:   n.components.router,
		Tables:   n.components.tables,
		Logger:   n.logger,
	})
	n.components.gateway = gateway.New(gateway.Options{
		NodeID:     n.config.Node.ID,
		Router:     n.components.router,
		Keyed:      n.components.keyed,
		Tables:     n.components.tables,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	return nil
}

func (n *node) buildCoordinators() {
	announcer := cluster.NewOwnershipAnnouncer(n.components.cluster)
	n.components.trainers = coordinator.New(coordinator.Options{
		NodeID:      n.config.Node.ID,
		PeerAddress: n.components.transport.Address(),
		Zone:        n.config.Node.Zone,
		Manager:     n.components.streams,
		View:        n.components.cluster,
		Announcer:   announcer.Source(),
		Caller:      n.components.transport,
		Registry:    n.components.transport,
		Router:      n.components.router,
		Tables:      n.components.tables,
		Scorer:      n.clients.scorer,
		Logger:      n.logger,
		Registerer:  n.registry,
	})
	n.components.weights = weights.New(weights.Options{
		NodeID:             n.config.Node.ID,
		PeerAddress:        n.components.transport.Address(),
		Manager:            n.components.streams,
		View:               n.components.cluster,
		Announcer:          announcer.Source(),
		Caller:             n.components.transport,
		Store:              n.clients.weights,
		Tables:             n.components.tables,
		MaxConcurrentLoads: n.config.Weights.MaxConcurrentLoads,
		Logger:             n.logger,
		Registerer:         n.registry,
	})
}

// loops returns the Run functions of the components, by name.
func (c *components) loops() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"cluster":             c.cluster.Run,
		"tables":              c.tables.Run,
		"dispatcher":          c.dispatcher.Run,
		"trainer coordinator": c.trainers.Run,
		"weight coordinator":  c.weights.Run,
	}
}
