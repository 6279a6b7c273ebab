package hosted

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
	"github.com/corkpulley/corkpulley/internal/ingress"
	"github.com/corkpulley/corkpulley/internal/settings"
)

const (
	// maxWaitingRequests bounds the requests that wait at a node for an engine, and with them their connections and
	// goroutines. It is far above the live requests of a node in a burst, some tens a second.
	maxWaitingRequests = 1024
	// waitingBytesDivisor is the part of the byte budget that bodies of waiting requests may take. Bodies may take half
	// of the budget, so that as much is left for those of requests that need not wait.
	waitingBytesDivisor = 4
)

// liveQueueLimits returns the limits of the queue for live requests. The bodies of waiting requests are held in the
// node's byte budget like all others.
func liveQueueLimits(config settings.Settings) livequeue.Limits {
	return livequeue.Limits{
		MaxWait:  time.Duration(config.Scheduling.LiveWait),
		Requests: maxWaitingRequests, Bytes: boundedhttp.BudgetLimit(config.Node) / waitingBytesDivisor,
	}
}

// queueWaitBuckets are the bounds of the histogram of waits, in seconds. A wait is at most settings.MaxLiveWait.
var queueWaitBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 10}

// addLiveQueueMetrics registers the metrics of the queue for live requests.
func (m *metrics) addLiveQueueMetrics(registry *prometheus.Registry) {
	m.queueDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_live_queue_decisions_total",
		Help: "Live requests that waited for a slot or were refused by the queue, by decision.",
	}, []string{"decision"})
	m.queueWait = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "corkpulley_hosted_live_queue_wait_seconds", Help: "Time that live requests waited for a slot, by decision.",
		Buckets: queueWaitBuckets,
	}, []string{"decision"})
	m.queueRequests = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_live_queue_requests", Help: "Live requests that wait for a slot.",
	})
	m.queueBytes = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_live_queue_bytes", Help: "Bytes of the bodies of live requests that wait for a slot.",
	})
	for _, decision := range ingress.QueueDecisions() {
		m.queueDecisions.WithLabelValues(decision.String())
	}
	registry.MustRegister(m.queueDecisions, m.queueWait, m.queueRequests, m.queueBytes)
}

func (m *metrics) queueDecided(decision ingress.QueueDecision, waited time.Duration) {
	m.queueDecisions.WithLabelValues(decision.String()).Inc()
	m.queueWait.WithLabelValues(decision.String()).Observe(waited.Seconds())
}

func (m *metrics) queueLengthChanged(requests int, bytes int64) {
	m.queueRequests.Set(float64(requests))
	m.queueBytes.Set(float64(bytes))
}
