// Package hosted wires one corkpulley process that runs on a platform which
// keeps everything durable in one partitioned log: configuration and engine
// list are followed from it, batch jobs are kept in it, and it elects the
// leader that runs the items of batch jobs and orders weight versions.
package hosted

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/xid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/common/standstill"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/topology"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/duties"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/ingress"
	"github.com/corkpulley/corkpulley/internal/jobrelay"
	"github.com/corkpulley/corkpulley/internal/leadership"
	"github.com/corkpulley/corkpulley/internal/logrelay"
	"github.com/corkpulley/corkpulley/internal/sendgate"
	"github.com/corkpulley/corkpulley/internal/settings"
)

// node is one running process.
type node struct {
	config   settings.Settings
	platform Platform
	logger   zerolog.Logger
	registry *prometheus.Registry
	metrics  *metrics
	// holder names this process start.
	holder string

	state *state
	fleet *fleet.Fleet
	// gate is asked before requests leave for engines.
	gate *sendgate.Gate
	// knowledge is whether the node knows the evacuations and the engine list.
	knowledge  *placementKnowledge
	standstill *standstill.Watch
	// bytes bounds what is held for callers and engines, callerLimits that for callers who read slowly.
	bytes        *bytebudget.Budget
	callerLimits callerwrite.Limits
	// unreadableLoads are the engines of whose loads it was told that they cannot be read.
	unreadableLoads sync.Map
	// coverage is which part of the engine list this node follows.
	coverage coverage
	// itemRunners counts the runners of batch items on this node.
	itemRunners atomic.Int32
	// runner runs the items of batch jobs while this node leads; nil otherwise.
	runner  atomic.Pointer[batchrun.Runner]
	control *follow.Follower
	engines *follow.Follower
	// unusable holds the entries of the engine list that name no engine to use.
	unusable unusableEntries
	jobs     *batchjobs.Service
	// askedJobs answers questions about jobs, through other nodes in a large cluster.
	askedJobs *jobrelay.Relay
	relay     *ingress.Relay
	guard     *crashes.Guard
	ended     *follow.Follower
	elector   *leadership.Elector
	// coldDecider admits requests to cold engines while this node leads, coldPermits asks whichever leads.
	coldDecider *coldpermits.Decider
	coldPermits *coldpermits.Asker
	// homeRunners elect who runs the batch jobs that are bound to regions.
	homeRunners *homeRunners
	topology    *topology.Map
	// unknownZones holds the zones of engines whose region is not known.
	unknownZones sync.Map
	// log is the platform's log, directly or by way of another node.
	log      eventlog.Log
	logCalls *logCalls
	counter  *duties.Counter
	// engineCalls sends requests to engines and counts them.
	engineCalls Engines

	directory *logrelay.Directory
	// clusterVersion is the protocol version that all nodes speak.
	clusterVersion *clusterVersion

	callers   *server
	operators *server
	peers     *server
}

// Run runs a node until ctx ends, and then the planned stop. Settings that come
// from reloads while it runs change what can be changed then: the grace period
// and the log level. Logs are written as JSON lines.
func Run(
	ctx context.Context, config settings.Settings, platform Platform, reloads <-chan settings.Settings, logs io.Writer,
) error {
	output := newLogOutput(logs)
	defer output.Close()
	registry := prometheus.NewRegistry()
	metrics := newMetrics(registry)
	output.onDropped(metrics.linesDropped)
	limit := newLineLimit(metrics.lineLeftOut)
	logger := newLogger(config, output)
	go limit.report(ctx, logger)
	n, err := newNode(ctx, config, platform, registry, metrics, logger.Hook(limit))
	if err != nil {
		return err
	}
	go n.followReloads(ctx, reloads)
	return n.run(ctx)
}

func newNode(
	ctx context.Context, config settings.Settings, platform Platform, registry *prometheus.Registry, metrics *metrics,
	logger zerolog.Logger,
) (*node, error) {
	n := &node{
		config: config, platform: platform, logger: logger,
		registry: registry, metrics: metrics,
		holder: config.Node.ID + "-" + xid.New().String(),
		state:  newState(time.Duration(config.Shutdown.Grace)),
		fleet:  fleet.New(), unusable: make(unusableEntries), standstill: standstill.New(),

		topology: topology.NewMap(config.Topology.Zones, config.Node.Zone, config.Node.Region),
	}
	n.bytes = newByteBudget(config.Node)
	metrics.bytes.Store(n.bytes)
	n.callerLimits = n.newCallerLimits()
	n.engineCalls = &countedEngines{
		platform.Engines(), metrics.traffic, topology.Place{Zone: config.Node.Zone, Region: config.Node.Region},
	}
	n.logCalls = newLogCalls(metrics, logger)
	direct := n.logCalls.counted(platform.Log(), false)
	n.directory = logrelay.NewDirectory(direct, logrelay.Self{
		Node: config.Node.ID, Address: config.Listen.Peers, Zone: config.Node.Zone, Region: config.Node.Region,
		Processors: config.Node.Processors, Version: clusterversion.Build,
	}, logLimits(config.Hosted), logger)
	log := logrelay.NewFallback(direct, n.directory.Others, n.counted(logrelay.NewClient(), logTraffic), logger)
	n.directory.SetLog(log)
	replicas := logrelay.NewReplicaReader(log, logrelay.ReplicaOptions{
		Sources: n.directory.Sources, AwaitSources: n.directory.AwaitSettled,
		LeftOut: n.leftOutOf, Client: n.counted(logrelay.NewClient(), replicaTraffic),
	})
	n.control = follow.New(replicas, platform.ControlTopic(), n.takeControl, n.directory.Budget(), logger)
	n.engines = follow.New(replicas, platform.EngineTopic(), n.takeEngine, n.directory.Budget(), logger)
	n.engines.Classify(n.engineClass)
	n.knowledge = newPlacementKnowledge(n.standstill, n.control, n.engines, logger)
	n.gate = sendgate.New(sendgate.Options{Fleet: n.fleet, Known: n.knowledge.known, HeldBack: metrics.heldBackAt})
	n.jobs = batchjobs.New(log, batchjobs.Options{
		Partitions:  config.Hosted.Partitions,
		RecordBytes: config.Hosted.RecordBytes, CallBytes: config.Hosted.CallBytes,
		KeepJobs: time.Duration(config.Hosted.KeepJobs), Budget: n.directory.Budget(), Hold: n.HoldResult, Logger: logger,
	})
	n.askedJobs = jobrelay.NewRelay(
		n.jobs, n.directory.SourcesWithin, n.directory.Known(), n.counted(logrelay.NewClient(), jobTraffic), logger,
	)
	n.log = log
	n.counter = duties.NewCounter(log, n.holder, usageWindow(config.Hosted), n.directory.Budget(), logger)
	n.guard = n.newGuard(log)
	n.ended = follow.New(replicas, platform.CrashTopic(), n.guard.Take, n.directory.Budget(), logger)
	n.coldDecider, n.coldPermits = n.newColdPermits()
	n.relay = ingress.New(ingress.Options{
		Engines: n.engineCalls, Fleet: n.fleet, Guard: n.guard, Gate: n.gate, ColdPermits: n.coldPermits,
		Callers: n.callerLimits, LoadUnreadable: n.loadUnreadable,
		Table: n.state.table, Current: n.isCurrent,
		Zone: config.Node.Zone, Region: config.Node.Region, Seed: seedOf(n.holder), Logger: logger, Observe: n.metrics.requestEnded,
		Began: n.counter.Began,
	})
	n.elector = leadership.New(log, n.leaseOptions(), n.lead)
	n.homeRunners = newHomeRunners(n)
	n.clusterVersion = newClusterVersion(n.clusterVersionOptions())
	if err := n.clusterVersion.checkBuild(ctx); err != nil {
		return nil, err
	}
	return n, n.listen(n.peersHandler(n.logCalls.counted(platform.Log(), true), log))
}

// logLimits is what the log serves to all nodes together.
func logLimits(hosted settings.Hosted) pacing.Limits {
	return pacing.Limits{
		ReadsPerSecond: hosted.ReadsPerSecond, BytesPerSecond: int(hosted.ReadMBPerSecond * 1e6),
	}
}

// peersHandler serves other nodes.
func (n *node) peersHandler(direct eventlog.Log, log *logrelay.Fallback) http.Handler {
	router := mux.NewRouter()
	router.Handle(logrelay.Path, logrelay.NewHandler(direct, log.Direct, n))
	router.Handle(jobrelay.Path, jobrelay.NewHandler(n.jobs, n.directory.AnswersWithin)).Methods(http.MethodPost)
	router.Handle(crashes.Path, n.guard.Handler()).Methods(http.MethodPost)
	router.Handle(coldpermits.Path, n.coldDecider.Handler(n.fleet.SlowStart)).Methods(http.MethodPost)
	return router
}

// Replica implements logrelay.Replicas.
func (n *node) Replica(topic string) (logrelay.Replica, bool) {
	if !n.directory.IsReplica() {
		return nil, false
	}
	switch topic {
	case n.platform.ControlTopic():
		return n.control.Replica(), true
	case n.platform.EngineTopic():
		return n.engines.Replica(), n.coverage.isWhole()
	case n.platform.CrashTopic():
		return n.ended.Replica(), true
	default:
		return nil, false
	}
}

func (n *node) listen(peers http.Handler) error {
	var err error
	if n.peers, err = listen(n.config.Listen.Peers, peers, fixedIdleTime); err != nil {
		return err
	}
	if n.callers, err = listen(n.config.Listen.Callers, n.platform.CallersHandler(n), n.idleTime); err != nil {
		return err
	}
	operators := n.operatorsHandler(n.platform.OperatorsHandler(n.ready, n.metrics.handler(n.registry)))
	n.operators, err = listen(n.config.Listen.Operators, operators, fixedIdleTime)
	return err
}

func (n *node) run(ctx context.Context) error {
	roles, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	group, groupContext := errgroup.WithContext(roles)
	group.Go(n.callers.serve)
	group.Go(n.operators.serve)
	group.Go(n.peers.serve)
	for _, role := range []func(context.Context) error{
		n.control.Run, n.followEngines, n.ended.Run, n.guard.Run, n.jobs.Run, n.directory.Run, n.counter.Run,
		n.applyDeferred, n.standstill.Run, n.watchColdEngines, n.logCalls.summary.Run, n.clusterVersion.Run,
		n.whenCurrent(n.elector.Run), n.whenCurrent(n.homeRunners.Run),
	} {
		group.Go(func() error { return role(groupContext) })
	}
	n.logger.Info().Str("holder", n.holder).Str("callers", n.callers.address()).
		Str("operators", n.operators.address()).Str("log", n.config.Hosted.Log).Msg("node started")
	var tooOld error
	select {
	case <-ctx.Done():
	case <-groupContext.Done():
	case tooOld = <-n.clusterVersion.tooOld:
	}
	left := n.stop(stopRoles)
	err := waitAtMost(group.Wait, left)
	if tooOld != nil {
		err = tooOld
	}
	n.logger.Info().Err(err).Msg("node stopped")
	return err
}

// errRolesHang is returned when a role does not end in time.
var errRolesHang = errors.New("a role did not end in time")

// waitAtMost waits for the roles, but not beyond the grace period.
func waitAtMost(wait func() error, limit time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		return errRolesHang
	}
}
