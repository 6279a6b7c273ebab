package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	metricsNamespace = "corkpulley"
	metricsSubsystem = "dispatcher"
)

// queueWaitBuckets are the bounds of the queue wait histogram, in seconds.
var queueWaitBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

type metrics struct {
	queueWait    *prometheus.HistogramVec
	attempts     *prometheus.CounterVec
	failed       *prometheus.CounterVec
	resumes      prometheus.Counter
	moves        prometheus.Counter
	cachedTokens prometheus.Counter
	orders       *prometheus.CounterVec
	queued       *prometheus.GaugeVec
	running      *prometheus.GaugeVec
	slots        *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "queue_wait_seconds",
			Help: "Time from enqueueing to the choice of an engine, in seconds.", Buckets: queueWaitBuckets,
		}, []string{"service"}),
		attempts:     counterVec("engine_attempts_total", "Sends to engines by outcome.", "outcome"),
		failed:       counterVec("failed_total", "Submissions that ended with an error, by kind.", "kind"),
		resumes:      counter("stream_resumes_total", "Broken engine streams that were tried to be resumed."),
		moves:        counter("moves_total", "Requests continued on an engine after another one was lost."),
		cachedTokens: counter("cached_prompt_tokens_total", "Prompt tokens that engines served from their prefix caches."),
		orders:       counterVec("orders_total", "Load orders sent to engines, by result.", "result"),
		queued:       cellGauge("queued_requests", "Requests that wait for an engine."),
		running:      cellGauge("running_requests", "Requests in flight at engines."),
		slots:        cellGauge("slots", "Batch slots of the engines in service."),
	}
	if registerer != nil {
		registerer.MustRegister(m.queueWait, m.attempts, m.failed, m.resumes, m.moves,
			m.cachedTokens, m.orders, m.queued, m.running, m.slots)
	}
	return m
}

// observeCell sets the gauges of a cell.
func (m *metrics) observeCell(id message.CellID, digest *scheduler.Digest) {
	name := cellName(id)
	m.queued.WithLabelValues(name).Set(float64(digest.Queued))
	m.running.WithLabelValues(name).Set(float64(digest.Running))
	m.slots.WithLabelValues(name).Set(float64(digest.Slots))
}

// deleteCell deletes the gauges of a closed cell.
func (m *metrics) deleteCell(id message.CellID) {
	name := cellName(id)
	m.queued.DeleteLabelValues(name)
	m.running.DeleteLabelValues(name)
	m.slots.DeleteLabelValues(name)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, []string{label})
}

func cellGauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, []string{"cell"})
}
