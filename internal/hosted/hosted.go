// Package hosted implements a corkpulley node that runs on a platform whose partitioned log is the only durable
// storage. The node follows the configuration and the engine list from the log, stores batch jobs in it, and uses
// it to elect the leader, which runs the items of batch jobs and manages weight versions.
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
	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/common/suspension"
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
	"github.com/corkpulley/corkpulley/internal/peerload"
	"github.com/corkpulley/corkpulley/internal/sendgate"
	"github.com/corkpulley/corkpulley/internal/settings"
)

type node struct {
	config   settings.Settings
	platform Platform
	logger   zerolog.Logger
	registry *prometheus.Registry
	metrics  *metrics
	// holder identifies this process in leases and records; it differs between restarts of a node.
	holder string

	state *state
	fleet *fleet.Fleet
	// gate performs the final check before a request is sent to an engine.
	gate *sendgate.Gate
	// resumeGuard holds requests back after a suspension until the evacuations and the engine list are up to date.
	resumeGuard *resumeGuard
	suspension  *suspension.Detector
	// byteBudget bounds the bytes buffered for callers and engines; callerLimits bounds those for one slow caller.
	byteBudget   *bytebudget.Budget
	callerLimits callerwrite.Limits
	// loggedUnreadableLoads holds the engines whose unreadable load reports have been logged.
	loggedUnreadableLoads sync.Map
	// coverage tracks which part of the engine list this node follows.
	coverage coverage
	// itemRunners is the number of batch item runners on this node.
	itemRunners atomic.Int32
	// runner runs the items of batch jobs while this node leads; nil otherwise.
	runner          atomic.Pointer[batchrun.Runner]
	controlFollower *follow.Follower
	engineFollower  *follow.Follower
	// loggedUnusable holds the unusable engine list entries that have been logged.
	loggedUnusable unusableEntries
	jobs           *batchjobs.Service
	// jobRelay answers queries about jobs, in a large cluster through other nodes.
	jobRelay      *jobrelay.Relay
	relay         *ingress.Relay
	crashDetector *crashes.Detector
	crashGuard    *crashes.Guard
	crashFollower *follow.Follower
	// logMissingCrashRecords limits the warning of crashesKnown to one.
	logMissingCrashRecords sync.Once
	elector                *leadership.Elector
	// coldGranter admits requests to cold engines while this node leads; coldPermits requests permits from the
	// leader.
	coldGranter *coldpermits.Granter
	coldPermits *coldpermits.Client
	// loadExchange exchanges the load of engines with other nodes; nil without it.
	loadExchange *peerload.Exchange
	// regionElections elects the runners of batch jobs that are bound to regions.
	regionElections *regionElections
	topology        *topology.Map
	// loggedUnknownZones holds the zones without a known region that have been logged.
	loggedUnknownZones sync.Map
	// log is the platform's log, accessed directly or through another node.
	log          eventlog.Log
	logCalls     *logCalls
	usageCounter *duties.Counter
	// engineCalls sends requests to engines and counts the traffic.
	engineCalls Engines

	directory *logrelay.Directory
	// clusterVersion follows the protocol version that all nodes support.
	clusterVersion *clusterVersion

	callers   *boundedhttp.Server
	operators *boundedhttp.Server
	peers     *boundedhttp.Server
}

// Run runs a node until ctx ends, and then performs a planned stop. Of the settings received from reloads, only the
// grace period and the log level take effect; the others need a restart. Logs are written as JSON lines.
func Run(
	ctx context.Context, config settings.Settings, platform Platform, reloads <-chan settings.Settings, logs io.Writer,
) error {
	output := newLogOutput(logs)
	defer output.Close()
	registry := prometheus.NewRegistry()
	metrics := newMetrics(registry)
	output.onDropped(metrics.linesDropped)
	limit := newLineLimit(metrics.lineSuppressed)
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
		fleet:  fleet.New(), loggedUnusable: make(unusableEntries), suspension: suspension.New(),

		topology: topology.NewMap(config.Topology.Zones, config.Node.Zone, config.Node.Region),
	}
	n.byteBudget = boundedhttp.NewBudget(config.Node)
	metrics.byteBudget.Store(n.byteBudget)
	n.callerLimits = n.newCallerLimits()
	n.engineCalls = &countedEngines{
		platform.Engines(), metrics.traffic, topology.Place{Zone: config.Node.Zone, Region: config.Node.Region},
	}
	n.logCalls = newLogCalls(metrics, logger)
	direct := n.logCalls.countCalls(platform.Log(), false)
	n.directory = logrelay.NewDirectory(direct, logrelay.NodeInfo{
		Node: config.Node.ID, Address: config.Listen.Peers, Zone: config.Node.Zone, Region: config.Node.Region,
		Processors: config.Node.Processors, Version: clusterversion.Build,
	}, logLimits(config.Hosted), logger)
	log := logrelay.NewFallback(direct, n.directory.Peers, n.countTraffic(logrelay.NewClient(), logTraffic), logger)
	n.directory.SetLog(log)
	replicas := logrelay.NewReplicaReader(log, logrelay.ReplicaOptions{
		Sources: n.directory.Sources, AwaitSources: n.directory.AwaitSettled,
		ExcludedClasses: n.excludedClasses, Client: n.countTraffic(logrelay.NewClient(), replicaTraffic),
	})
	n.controlFollower = follow.New(replicas, platform.ControlTopic(), n.applyControlRecord, n.directory.Budget(), logger)
	n.engineFollower = follow.New(replicas, platform.EngineTopic(), n.applyEngineRecord, n.directory.Budget(), logger)
	n.engineFollower.Classify(n.engineClass)
	n.resumeGuard = newResumeGuard(n.suspension, n.controlFollower, n.engineFollower, logger)
	n.gate = sendgate.New(sendgate.Options{
		Fleet: n.fleet, EnginesKnown: n.resumeGuard.allowsSending, OnHeldBack: metrics.requestHeldBack,
	})
	n.jobs = batchjobs.New(log, batchjobs.Options{
		Partitions:     config.Hosted.Partitions,
		MaxRecordBytes: config.Hosted.RecordBytes, MaxAppendBytes: config.Hosted.CallBytes,
		JobRetention: time.Duration(config.Hosted.KeepJobs), Budget: n.directory.Budget(), ReserveMemory: n.ReserveResult, Logger: logger,
	})
	n.jobRelay = jobrelay.NewRelay(
		n.jobs, n.directory.SourcesWithin, n.directory.Loaded(), n.countTraffic(logrelay.NewClient(), jobTraffic), logger,
	)
	n.log = log
	n.usageCounter = duties.NewCounter(log, n.holder, usageWindow(config.Hosted), n.directory.Budget(), logger)
	n.crashDetector = n.newCrashDetector()
	n.crashGuard = n.newCrashGuard(log)
	n.crashFollower = follow.New(replicas, platform.CrashTopic(), n.crashGuard.HandleRecord, n.directory.Budget(), logger)
	n.coldGranter, n.coldPermits = n.newColdPermits()
	n.loadExchange = n.newLoadExchange()
	n.relay = ingress.New(ingress.Options{
		Engines: n.engineCalls, Fleet: n.fleet, Guard: n.crashGuard, ExemptGuard: crashes.NewExempt(n.crashDetector), Gate: n.gate,
		ColdPermits:  n.coldPermits,
		CallerLimits: n.callerLimits, OnInvalidLoad: n.reportUnreadableLoad,
		Table: n.state.table, Current: n.isCurrent,
		Zone: config.Node.Zone, Region: config.Node.Region, Seed: seedOf(n.holder), Logger: logger,
		Observe: n.metrics.requestEnded,
		OnStart: n.usageCounter.CountRequest, LiveQueue: liveQueueLimits(config),
		OnQueueDecision: n.metrics.queueDecided, OnQueueLength: n.metrics.queueLengthChanged,
	})
	n.elector = leadership.New(log, n.leaseOptions(), n.lead)
	n.regionElections = newRegionElections(n)
	n.clusterVersion = newClusterVersion(n.clusterVersionOptions())
	if err := n.clusterVersion.checkBuild(ctx); err != nil {
		return nil, err
	}
	return n, n.listen(n.peersHandler(n.logCalls.countCalls(platform.Log(), true), log))
}

// logLimits returns the read limits of the log, shared by all nodes.
func logLimits(hosted settings.Hosted) pacing.Limits {
	return pacing.Limits{
		ReadsPerSecond: hosted.ReadsPerSecond, BytesPerSecond: int(hosted.ReadMBPerSecond * 1e6),
	}
}

// peersHandler serves requests of other nodes.
func (n *node) peersHandler(direct eventlog.Log, log *logrelay.Fallback) http.Handler {
	router := mux.NewRouter()
	router.Handle(logrelay.Path, logrelay.NewHandler(direct, log.IsDirect, n))
	router.Handle(jobrelay.Path, jobrelay.NewHandler(n.jobs, n.directory.ServesReadsWithin)).Methods(http.MethodPost)
	router.Handle(crashes.Path, n.crashGuard.Handler()).Methods(http.MethodPost)
	router.Handle(coldpermits.Path, n.coldGranter.Handler(n.fleet.SlowStart)).Methods(http.MethodPost)
	if n.loadExchange != nil {
		router.Handle(peerload.Path, n.loadExchange.Handler()).Methods(http.MethodPost)
	}
	return router
}

// Replica implements logrelay.Replicas.
func (n *node) Replica(topic string) (logrelay.Replica, bool) {
	if !n.directory.IsReplica() {
		return nil, false
	}
	switch topic {
	case n.platform.ControlTopic():
		return n.controlFollower.Replica(), true
	case n.platform.EngineTopic():
		return n.engineFollower.Replica(), n.coverage.isComplete()
	case n.platform.CrashTopic():
		return n.crashFollower.Replica(), true
	default:
		return nil, false
	}
}

func (n *node) run(ctx context.Context) error {
	taskContext, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	group, groupContext := errgroup.WithContext(taskContext)
	group.Go(n.callers.Serve)
	group.Go(n.operators.Serve)
	group.Go(n.peers.Serve)
	for _, task := range []func(context.Context) error{
		n.controlFollower.Run, n.followEngines, n.crashFollower.Run, n.crashGuard.Run, n.jobs.Run, n.directory.Run,
		n.usageCounter.Run, n.applyDeferred, n.suspension.Run, n.watchColdEngines, n.logCalls.summary.Run,
		n.clusterVersion.Run, n.exchangeLoad, n.afterFirstRead(n.elector.Run), n.afterFirstRead(n.regionElections.Run),
	} {
		group.Go(func() error { return task(groupContext) })
	}
	n.logger.Info().Str("holder", n.holder).Str("callers", n.callers.Address()).
		Str("operators", n.operators.Address()).Str("log", n.config.Hosted.Log).Msg("node started")
	var tooOld error
	select {
	case <-ctx.Done():
	case <-groupContext.Done():
	case tooOld = <-n.clusterVersion.tooOld:
	}
	remaining := n.stop(stopTasks)
	err := waitForTasks(group.Wait, remaining)
	if tooOld != nil {
		err = tooOld
	}
	n.logger.Info().Err(err).Msg("node stopped")
	return err
}

var errTaskTimeout = errors.New("background tasks of the node did not end within the grace period")

// waitForTasks waits for the node's background tasks to end, at most for limit.
func waitForTasks(wait func() error, limit time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		return errTaskTimeout
	}
}
