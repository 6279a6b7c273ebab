package scale

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/coordinator"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
	"github.com/corkpulley/corkpulley/internal/router"
	"github.com/corkpulley/corkpulley/internal/tables"
	"github.com/corkpulley/corkpulley/internal/weights"
)

const (
	configStream = "config"
	// Snapshots of the config stream, as a node writes them.
	configSnapshotEvery = 64
	// closeLimit bounds the end of a node's log streams.
	closeLimit = 2 * time.Second
)

// identity is what a node keeps over restarts.
type identity struct {
	id, address string
	place       place
}

// hollowNode is one node: the real cluster, tables, trainer coordinator and
// weight coordinator, over the in-memory network, with a hollow dispatcher.
type hollowNode struct {
	identity
	world      *World
	endpoint   *endpoint
	cluster    *cluster.Cluster
	tables     *tables.Tables
	streams    *logstream.Manager
	weights    *weights.Coordinator
	trainers   *coordinator.Coordinator
	dispatcher *hollowDispatcher

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// refusingRouter takes the place of the data path: no step runs in this bench.
type refusingRouter struct{}

// Run implements router.Router.
func (refusingRouter) Run(context.Context, router.Request, func(router.Piece) error) (router.Result, error) {
	return router.Result{}, errkind.New(errkind.NotReady, "hollow nodes run no requests")
}

// refusingScorer scores nothing.
type refusingScorer struct{}

// Score implements scorer.Scorer.
func (refusingScorer) Score(context.Context, scorer.Request) (scorer.Response, error) {
	return scorer.Response{}, errkind.New(errkind.NotReady, "hollow nodes score nothing")
}

// startNode starts a new process under the identity.
func (w *World) startNode(named identity) *hollowNode {
	n := &hollowNode{identity: named, world: w}
	n.endpoint = w.network.endpoint(n.id, n.address, n.place)
	n.build()
	w.network.connect(n.endpoint)
	ctx, cancel := context.WithCancel(w.base)
	n.cancel = cancel
	n.running.Go(func() { _ = n.cluster.Run(ctx) })
	n.running.Go(func() { _ = n.tables.Run(ctx) })
	n.running.Go(func() { _ = n.trainers.Run(ctx) })
	n.running.Go(func() { _ = n.weights.Run(ctx) })
	n.running.Go(func() { n.dispatcher.run(ctx) })
	return n
}

func (n *hollowNode) build() {
	writer := xid.New().String()
	platform := &platformClient{world: n.world, endpoint: n.endpoint}
	n.cluster = cluster.New(cluster.Options{
		Self:     cluster.Member{ID: n.id, Writer: writer, Address: n.address, Zone: n.place.zone},
		Seeds:    n.world.seeds,
		Caller:   n.endpoint,
		Registry: n.endpoint,
		Machines: platform,
		Logger:   zerolog.Nop(),
	})
	n.streams = logstream.NewManager(logstream.Options{Service: platform, Writer: writer, Logger: zerolog.Nop()})
	n.buildTables()
	n.dispatcher = newHollowDispatcher(n.world, n.id, n.place.zone, n.endpoint)
	n.dispatcher.cluster = n.cluster
	n.buildCoordinators(platform)
}

func (n *hollowNode) buildTables() {
	reducer := &policy.Reducer{}
	stream := n.streams.Open(configStream, reducer, logstream.StreamOptions{
		SnapshotEvery:  configSnapshotEvery,
		SnapshotFormat: policy.SnapshotFormat,
	})
	n.tables = tables.New(tables.Options{
		Stream:         stream,
		Reducer:        reducer,
		Caller:         n.endpoint,
		Registry:       n.endpoint,
		View:           n.cluster,
		Announcer:      n.cluster,
		LastLogContact: func() time.Time { return n.streams.LastContact(configStream) },
		Logger:         zerolog.Nop(),
	})
}

func (n *hollowNode) buildCoordinators(platform *platformClient) {
	joined := cluster.NewOwnershipAnnouncer(n.cluster)
	n.trainers = coordinator.New(coordinator.Options{
		NodeID:      n.id,
		PeerAddress: n.address,
		Zone:        n.place.zone,
		Manager:     n.streams,
		View:        n.cluster,
		Announcer:   joined.Source(),
		Caller:      n.endpoint,
		Registry:    n.endpoint,
		Router:      refusingRouter{},
		Tables:      n.tables,
		Scorer:      refusingScorer{},
		Logger:      zerolog.Nop(),
		Registerer:  prometheus.NewRegistry(),
	})
	n.weights = weights.New(weights.Options{
		NodeID:             n.id,
		PeerAddress:        n.address,
		Manager:            n.streams,
		View:               n.cluster,
		Announcer:          joined.Source(),
		Caller:             n.endpoint,
		Store:              platform,
		Tables:             n.tables,
		MaxConcurrentLoads: n.world.settings.MaxLoads,
		Logger:             zerolog.Nop(),
	})
}

// crash ends the node as a loss of power does: nobody is told.
func (n *hollowNode) crash() {
	n.endpoint.silent.Store(true)
	n.end()
}

// leave ends the node by plan.
func (n *hollowNode) leave() {
	ctx, cancel := context.WithTimeout(n.world.base, 2*closeLimit)
	defer cancel()
	n.cluster.AnnounceLeaving()
	_ = n.trainers.Drain(ctx)
	_ = n.weights.Drain(ctx)
	_ = n.cluster.Leave(ctx)
	n.endpoint.silent.Store(true)
	n.end()
}

func (n *hollowNode) end() {
	n.cancel()
	n.running.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	_ = n.streams.Close(ctx)
}
