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

// roles are the components of a node; every node runs all of them.
type roles struct {
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

// buildRoles creates the roles in the order of their dependencies. They register
// their handlers on the transport, which must not have started.
func (n *node) buildRoles() error {
	if err := n.buildCluster(); err != nil {
		return err
	}
	n.buildTables()
	if err := n.buildServing(); err != nil {
		return err
	}
	n.buildCoordinators()
	return nil
}

func (n *node) buildCluster() error {
	n.roles.transport = peer.New(peer.Options{
		NodeID:           n.config.Node.ID,
		ListenAddress:    n.config.Listen.Peers,
		AdvertiseAddress: n.config.Advertise.Peers,
		Logger:           n.logger,
		Registerer:       n.registry,
	})
	if err := n.roles.transport.Listen(); err != nil {
		return err
	}
	n.roles.cluster = cluster.New(cluster.Options{
		Self: cluster.Member{
			ID:      n.config.Node.ID,
			Writer:  n.writer,
			Address: n.roles.transport.Address(),
			Zone:    n.config.Node.Zone,
			State:   cluster.StateAlive,
		},
		Region:        n.config.Node.Region,
		Seeds:         n.config.Cluster.Seeds,
		Caller:        n.roles.transport,
		Registry:      n.roles.transport,
		Machines:      n.clients.machines,
		ProbeInterval: time.Duration(n.config.Cluster.ProbeInterval),
		Logger:        n.logger,
		Registerer:    n.registry,
	})
	return nil
}

func (n *node) buildTables() {
	n.roles.streams = logstream.NewManager(logstream.Options{
		Service:    n.clients.log,
		Writer:     n.writer,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	reducer := &policy.Reducer{}
	stream := n.roles.streams.Open(configStream, reducer, logstream.StreamOptions{
		SnapshotEvery:  configSnapshotEvery,
		SnapshotFormat: policy.SnapshotFormat,
	})
	n.roles.tables = tables.New(tables.Options{
		Stream:         stream,
		Reducer:        reducer,
		Caller:         n.roles.transport,
		Registry:       n.roles.transport,
		View:           n.roles.cluster,
		Announcer:      n.roles.cluster,
		LastLogContact: n.lastLogContact,
		Logger:         n.logger,
	})
}

// lastLogContact returns when this node last read to the end of the config stream.
func (n *node) lastLogContact() time.Time {
	return n.roles.streams.LastContact(configStream)
}

func (n *node) buildServing() error {
	schedulingPolicy, err := scheduler.ParsePolicy(n.config.Scheduling.Policy)
	if err != nil {
		return err
	}
	n.roles.dispatcher = dispatcher.New(dispatcher.Options{
		NodeID:       n.config.Node.ID,
		PeerAddress:  n.roles.transport.Address(),
		Zone:         n.config.Node.Zone,
		Registry:     n.roles.transport,
		View:         n.roles.cluster,
		Announcer:    n.roles.cluster,
		EngineList:   n.roles.cluster,
		EngineClient: n.clients.engines,
		Tables:       n.roles.tables,
		Policy:       schedulingPolicy,
		Logger:       n.logger,
		Registerer:   n.registry,
	})
	n.roles.router = router.New(router.Options{
		NodeID:     n.config.Node.ID,
		Zone:       n.config.Node.Zone,
		Region:     n.config.Node.Region,
		Caller:     n.roles.transport,
		View:       n.roles.cluster,
		Announcer:  n.roles.cluster,
		Tables:     n.roles.tables,
		Policy:     n.config.Scheduling.Policy,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	n.roles.keyed = keyed.New(keyed.Options{
		Manager:  n.roles.streams,
		View:     n.roles.cluster,
		Caller:   n.roles.transport,
		Registry: n.roles.transport,
		Router:   n.roles.router,
		Tables:   n.roles.tables,
		Logger:   n.logger,
	})
	n.roles.gateway = gateway.New(gateway.Options{
		NodeID:     n.config.Node.ID,
		Router:     n.roles.router,
		Keyed:      n.roles.keyed,
		Tables:     n.roles.tables,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	return nil
}

func (n *node) buildCoordinators() {
	announcer := cluster.NewOwnershipAnnouncer(n.roles.cluster)
	n.roles.trainers = coordinator.New(coordinator.Options{
		NodeID:      n.config.Node.ID,
		PeerAddress: n.roles.transport.Address(),
		Zone:        n.config.Node.Zone,
		Manager:     n.roles.streams,
		View:        n.roles.cluster,
		Announcer:   announcer.Source(),
		Caller:      n.roles.transport,
		Registry:    n.roles.transport,
		Router:      n.roles.router,
		Tables:      n.roles.tables,
		Scorer:      n.clients.scorer,
		Logger:      n.logger,
		Registerer:  n.registry,
	})
	n.roles.weights = weights.New(weights.Options{
		NodeID:             n.config.Node.ID,
		PeerAddress:        n.roles.transport.Address(),
		Manager:            n.roles.streams,
		View:               n.roles.cluster,
		Announcer:          announcer.Source(),
		Caller:             n.roles.transport,
		Store:              n.clients.weights,
		Tables:             n.roles.tables,
		MaxConcurrentLoads: n.config.Weights.MaxConcurrentLoads,
		Logger:             n.logger,
		Registerer:         n.registry,
	})
}

// loops returns the Run functions of the roles, by name.
func (r *roles) loops() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"cluster":             r.cluster.Run,
		"tables":              r.tables.Run,
		"dispatcher":          r.dispatcher.Run,
		"trainer coordinator": r.trainers.Run,
		"weight coordinator":  r.weights.Run,
	}
}
