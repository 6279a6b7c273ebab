package hosted

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/joborder"
	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// metrics are the Prometheus metrics of a node.
type metrics struct {
	requests          *prometheus.HistogramVec
	refused           *prometheus.CounterVec
	jobs              *prometheus.CounterVec
	tableVersion      prometheus.Gauge
	leading           prometheus.Gauge
	scoring           *prometheus.HistogramVec
	connectionsLost   *prometheus.CounterVec
	suspectedRequests prometheus.Gauge
	unusableEntries   *prometheus.CounterVec
	// engineRestarts counts engines that restarted under the same ID.
	engineRestarts    prometheus.Counter
	staleLeaseRecords *prometheus.CounterVec
	droppedLines      prometheus.Counter
	suppressedLines   prometheus.Counter
	evacuatedZones    prometheus.Gauge
	heldBack          *prometheus.CounterVec
	coldEngines       prometheus.Gauge
	coldAdmissions    *prometheus.CounterVec
	coldPermits       *prometheus.CounterVec
	// jobDecisions counts decisions of the order of jobs by due times.
	jobDecisions *prometheus.CounterVec
	// runningHomes is 1 for each region set whose jobs this node runs.
	runningHomes *prometheus.GaugeVec
	// fastEngines is the number of fast engines of the services whose engines have speed classes, by the homes of the
	// runner that observes them; itemMoves counts items moved to another engine.
	fastEngines *prometheus.GaugeVec
	itemMoves   *prometheus.CounterVec
	// outputDrops counts items that lost their output and start over.
	outputDrops *prometheus.CounterVec
	// itemWaits describes items that wait for an engine.
	itemWaits *itemWaits
	// versions holds the cluster version and the lowest version of the live nodes.
	versions *prometheus.GaugeVec
	// loadsUnreadable counts responses whose load report cannot be parsed.
	loadsUnreadable prometheus.Counter
	// byteBudget is the budget of the node, which is set before the metrics are served.
	byteBudget     atomic.Pointer[bytebudget.Budget]
	connections    *boundedhttp.Metrics
	callersStalled prometheus.Counter
	memoryRefused  *prometheus.CounterVec
	// queueDecisions, queueWait, queueRequests and queueBytes describe the live requests that wait for a slot.
	queueDecisions *prometheus.CounterVec
	queueWait      *prometheus.HistogramVec
	queueRequests  prometheus.Gauge
	queueBytes     prometheus.Gauge
	// traffic counts messages to other machines.
	traffic *traffic
	// logCalls and logBytes count calls to the event log.
	logCalls *prometheus.CounterVec
	logBytes *prometheus.CounterVec
	// loadExchanges counts messages with the load of engines; loadViewEngines is the size of the newest view.
	loadExchanges   *prometheus.CounterVec
	loadViewEngines prometheus.Gauge
}

// requestBuckets are the bounds of the latency histogram, in seconds.
var requestBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corkpulley_hosted_request_seconds", Help: "Time from reading a live request to its end.",
			Buckets: requestBuckets,
		}, []string{"route", "kind"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_refused_total", Help: "Error answers by kind.",
		}, []string{"kind"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_jobs_total", Help: "Batch jobs handed in, by the kind of the outcome.",
		}, []string{"kind"}),
		tableVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_config_version", Help: "Version of the configuration in force.",
		}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_leading", Help: "1 while this node leads.",
		}),
		runningHomes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_running_homes", Help: "1 while this node runs the batch jobs that are bound to the regions.",
		}, []string{"homes"}),
		scoring: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corkpulley_hosted_scoring_seconds", Help: "Time of a try of a scoring call, by its outcome.",
			Buckets: requestBuckets,
		}, []string{"outcome"}),
		connectionsLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_engine_connections_lost_total",
			Help: "Connections that an engine ended while a request was there, by what became of the engine.",
		}, []string{"service", "liveness"}),
		suspectedRequests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_suspected_requests", Help: "Requests under which an engine ended, as this node knows.",
		}),
		unusableEntries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_engine_entries_unusable_total",
			Help: "Entries of the engine list that name no engine to use, by what is wrong with them.",
		}, []string{"fault"}),
		engineRestarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corkpulley_hosted_engines_started_again_total",
			Help: "Engines that started again under their ID, as the engine list told this node.",
		}),
		staleLeaseRecords: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_earlier_lease_records_total",
			Help: "Records that a holder of the lease wrote after another claim had won, by kind.",
		}, []string{"kind"}),
		droppedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corkpulley_hosted_log_lines_dropped_total", Help: "Log lines left out because their reader was slow.",
		}),
	}
	m.suppressedLines = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corkpulley_hosted_log_lines_left_out_total", Help: "Log lines left out because too many of their kind came.",
	})
	m.evacuatedZones = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_evacuated_zones", Help: "Zones whose engines get no new work, as this node knows.",
	})
	m.heldBack = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_held_back_total",
		Help: "Requests and items held back right before they left for the engine that was chosen, by reason.",
	}, []string{"reason"})
	for _, reason := range fleet.Holds() {
		m.heldBack.WithLabelValues(reason.String())
	}
	m.jobDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_job_decisions_total",
		Help: "Batch jobs that were first outranked by a later one, or first known to be late, by kind.",
	}, []string{"kind"})
	for _, kind := range joborder.Kinds() {
		m.jobDecisions.WithLabelValues(kind.String())
	}
	m.loadsUnreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corkpulley_hosted_engine_loads_unreadable_total", Help: "Answers of engines whose load cannot be read.",
	})
	registry.MustRegister(m.loadsUnreadable)
	m.addVersionMetrics(registry)
	m.addSlowStartMetrics()
	m.addEngineSpeedMetrics(registry)
	m.addOutputDropMetric(registry)
	m.itemWaits = newItemWaits(registry)
	m.addHeldBytesMetrics(registry)
	m.connections = boundedhttp.NewMetrics("corkpulley_hosted")
	registry.MustRegister(m.connections)
	m.addLiveQueueMetrics(registry)
	m.traffic = newTraffic(registry)
	m.addLogCallMetrics(registry)
	m.addLoadExchangeMetrics(registry)
	registry.MustRegister(
		m.requests, m.refused, m.jobs, m.tableVersion, m.leading, m.scoring,
		m.connectionsLost, m.suspectedRequests, m.staleLeaseRecords,
		m.droppedLines, m.suppressedLines, m.unusableEntries, m.engineRestarts, m.evacuatedZones, m.heldBack,
		m.coldEngines, m.coldAdmissions, m.coldPermits, m.runningHomes,
		m.jobDecisions,
	)
	return m
}

func (m *metrics) addEngineSpeedMetrics(registry *prometheus.Registry) {
	m.fastEngines = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_fast_engines",
		Help: "Engines in the fast class of their service, as the runner of the jobs of these homes observes them.",
	}, []string{"service", "homes"})
	m.itemMoves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_item_moves_total", Help: "Running items stopped to continue at another engine, by reason.",
	}, []string{"reason"})
	for _, reason := range batchrun.MoveReasons() {
		m.itemMoves.WithLabelValues(reason.String())
	}
	registry.MustRegister(m.fastEngines, m.itemMoves)
}

func (m *metrics) addOutputDropMetric(registry *prometheus.Registry) {
	m.outputDrops = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_item_output_drops_total", Help: "Items that lost their output and start over, by reason.",
	}, []string{"reason"})
	for _, reason := range batchrun.DropReasons() {
		m.outputDrops.WithLabelValues(reason.String())
	}
	registry.MustRegister(m.outputDrops)
}

func (m *metrics) outputDropped(reason batchrun.DropReason) {
	m.outputDrops.WithLabelValues(reason.String()).Inc()
}

func (m *metrics) itemMoved(reason batchrun.MoveReason) {
	m.itemMoves.WithLabelValues(reason.String()).Inc()
}

// fastEnginesOf returns a function that records the number of fast engines of a service for the runner of these homes.
func (m *metrics) fastEnginesOf(set homes.Set) func(service string, fast int) {
	return func(service string, fast int) {
		m.fastEngines.WithLabelValues(service, set.String()).Set(float64(fast))
	}
}

// forgetFastEngines removes the numbers of the runner of these homes.
func (m *metrics) forgetFastEngines(set homes.Set) {
	m.fastEngines.DeletePartialMatch(prometheus.Labels{"homes": set.String()})
}

func (m *metrics) handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

func (m *metrics) requestEnded(route, kind string, took time.Duration) {
	m.requests.WithLabelValues(route, kind).Observe(took.Seconds())
}

// scored records one attempt of a scoring call.
func (m *metrics) scored(scoring batchrun.ScoringResult, took time.Duration) {
	outcome := "failed"
	switch {
	case scoring.Score != "":
		outcome = "scored"
	case scoring.NoCapacity:
		outcome = "refused"
	}
	m.scoring.WithLabelValues(outcome).Observe(took.Seconds())
}

func (m *metrics) connectionLost(service, liveness string) {
	m.connectionsLost.WithLabelValues(service, liveness).Inc()
}

func (m *metrics) requestsSuspected(requests int) { m.suspectedRequests.Set(float64(requests)) }

func (m *metrics) entryUnusable(fault EntryFault) {
	m.unusableEntries.WithLabelValues(fault.String()).Inc()
}

// staleLeaseRecord counts a record written by a lease holder after another claim had won.
func (m *metrics) staleLeaseRecord(kind lease.RecordKind) {
	m.staleLeaseRecords.WithLabelValues(kind.String()).Inc()
}

func (m *metrics) requestHeldBack(reason fleet.Hold) {
	m.heldBack.WithLabelValues(reason.String()).Inc()
}

// jobDecided counts a decision about a job; see joborder.Decision.
func (m *metrics) jobDecided(kind joborder.Kind) { m.jobDecisions.WithLabelValues(kind.String()).Inc() }

func (m *metrics) lineSuppressed() { m.suppressedLines.Inc() }

func (m *metrics) linesDropped(missed int) { m.droppedLines.Add(float64(missed)) }

func (m *metrics) jobSubmitted(err error) {
	kind := "ok"
	if err != nil {
		kind = errkind.KindOf(err).String()
	}
	m.jobs.WithLabelValues(kind).Inc()
}
