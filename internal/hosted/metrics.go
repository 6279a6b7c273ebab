package hosted

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// metrics are the counters and histograms of a hosted node.
type metrics struct {
	requests     *prometheus.HistogramVec
	refused      *prometheus.CounterVec
	jobs         *prometheus.CounterVec
	tableVersion prometheus.Gauge
	leading      prometheus.Gauge
	scoring      *prometheus.HistogramVec
	lost         *prometheus.CounterVec
	suspected    prometheus.Gauge
	unusable     *prometheus.CounterVec
	// enginesStartedAgain counts engines that started again under their ID.
	enginesStartedAgain prometheus.Counter
	behind              *prometheus.CounterVec
	dropped             prometheus.Counter
	leftOut             prometheus.Counter
	evacuated           prometheus.Gauge
	heldBack            *prometheus.CounterVec
	cold                prometheus.Gauge
	admissions          *prometheus.CounterVec
	coldPermits         *prometheus.CounterVec
	// runningAtHome is by the regions to which the jobs are bound that the node runs.
	runningAtHome *prometheus.GaugeVec
	// versions holds the cluster version and the lowest version of the live nodes.
	versions *prometheus.GaugeVec
	// loadsUnreadable counts answers whose load cannot be read.
	loadsUnreadable prometheus.Counter
	// bytes is what the node holds for others; nil before it is built.
	bytes          atomic.Pointer[bytebudget.Budget]
	callersStalled prometheus.Counter
	memoryRefused  *prometheus.CounterVec
	// traffic counts messages to other machines.
	traffic *traffic
	// logCalls and logBytes count calls of the log.
	logCalls *prometheus.CounterVec
	logBytes *prometheus.CounterVec
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
		runningAtHome: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_running_homes", Help: "1 while this node runs the batch jobs that are bound to the regions.",
		}, []string{"homes"}),
		scoring: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corkpulley_hosted_scoring_seconds", Help: "Time of a try of a scoring call, by its outcome.",
			Buckets: requestBuckets,
		}, []string{"outcome"}),
		lost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_engine_connections_lost_total",
			Help: "Connections that an engine ended while a request was there, by what became of the engine.",
		}, []string{"service", "liveness"}),
		suspected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_suspected_requests", Help: "Requests under which an engine ended, as this node knows.",
		}),
		unusable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_engine_entries_unusable_total",
			Help: "Entries of the engine list that name no engine to use, by what is wrong with them.",
		}, []string{"fault"}),
		enginesStartedAgain: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corkpulley_hosted_engines_started_again_total",
			Help: "Engines that started again under their ID, as the engine list told this node.",
		}),
		behind: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_hosted_earlier_lease_records_total",
			Help: "Records that a holder of the lease wrote after another claim had won, by kind.",
		}, []string{"kind"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corkpulley_hosted_log_lines_dropped_total", Help: "Log lines left out because their reader was slow.",
		}),
	}
	m.leftOut = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corkpulley_hosted_log_lines_left_out_total", Help: "Log lines left out because too many of their kind came.",
	})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_evacuated_zones", Help: "Zones whose engines get no new work, as this node knows.",
	})
	m.heldBack = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_held_back_total",
		Help: "Requests and items held back right before they left for the engine that was chosen, by reason.",
	}, []string{"reason"})
	for _, reason := range fleet.Holds() {
		m.heldBack.WithLabelValues(reason.String())
	}
	m.loadsUnreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corkpulley_hosted_engine_loads_unreadable_total", Help: "Answers of engines whose load cannot be read.",
	})
	registry.MustRegister(m.loadsUnreadable)
	m.addVersions(registry)
	m.addSlowStart()
	m.addHeldBytes(registry)
	m.traffic = newTraffic(registry)
	m.addLogCalls(registry)
	registry.MustRegister(
		m.requests, m.refused, m.jobs, m.tableVersion, m.leading, m.scoring, m.lost, m.suspected, m.behind,
		m.dropped, m.leftOut, m.unusable, m.enginesStartedAgain, m.evacuated, m.heldBack,
		m.cold, m.admissions, m.coldPermits, m.runningAtHome,
	)
	return m
}

func (m *metrics) handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

func (m *metrics) requestEnded(route, kind string, took time.Duration) {
	m.requests.WithLabelValues(route, kind).Observe(took.Seconds())
}

// scored counts a try of a scoring call.
func (m *metrics) scored(scoring batchrun.Scoring, took time.Duration) {
	outcome := "failed"
	switch {
	case scoring.Score != "":
		outcome = "scored"
	case scoring.Refused:
		outcome = "refused"
	}
	m.scoring.WithLabelValues(outcome).Observe(took.Seconds())
}

func (m *metrics) connectionLost(service, liveness string) {
	m.lost.WithLabelValues(service, liveness).Inc()
}

func (m *metrics) requestsSuspected(requests int) { m.suspected.Set(float64(requests)) }

// entryUnusable counts an entry that names no engine to use.
func (m *metrics) entryUnusable(fault EntryFault) { m.unusable.WithLabelValues(fault.String()).Inc() }

// recordBehind counts a record of an earlier holder of the lease.
func (m *metrics) recordBehind(kind lease.RecordKind) { m.behind.WithLabelValues(kind.String()).Inc() }

// heldBackAt counts a request that was held back.
func (m *metrics) heldBackAt(reason fleet.Hold) { m.heldBack.WithLabelValues(reason.String()).Inc() }

func (m *metrics) lineLeftOut() { m.leftOut.Inc() }

func (m *metrics) linesDropped(missed int) { m.dropped.Add(float64(missed)) }

func (m *metrics) jobHandedIn(err error) {
	kind := "ok"
	if err != nil {
		kind = errkind.KindOf(err).String()
	}
	m.jobs.WithLabelValues(kind).Inc()
}
