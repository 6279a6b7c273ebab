package hosted

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// memoryRetryAfter is the Retry-After delay of requests that are refused for lack of memory.
const memoryRetryAfter = 300 * time.Millisecond

// newCallerLimits returns the limits for callers that read slowly.
func (n *node) newCallerLimits() callerwrite.Limits {
	return callerwrite.Limits{
		Budget: n.byteBudget, StallTimeout: time.Duration(n.config.Hosted.CallerStall),
		OnStalled: func(left int) {
			n.metrics.callersStalled.Inc()
			n.logger.Warn().Int("bytes_left", left).Dur("stall_ms", time.Duration(n.config.Hosted.CallerStall)).
				Msg("slow caller disconnected")
		},
	}
}

// CallerLimits implements CallerService.
func (n *node) CallerLimits() callerwrite.Limits { return n.callerLimits }

// refuseForMemory counts and returns the error of a request that is refused for lack of memory.
func (n *node) refuseForMemory(kind bytebudget.Kind, bytes int64) *errkind.Error {
	n.metrics.memoryRefused.WithLabelValues(kind.String()).Inc()
	failure := errkind.New(errkind.NoCapacity, "no memory for %d bytes more of %s at this node", bytes, kind)
	failure.RetryAfter = memoryRetryAfter
	return failure
}

// ReserveResult implements CallerService.
func (n *node) ReserveResult(bytes int) (release func(), err error) {
	size := int64(bytes)
	if !n.byteBudget.Reserve(bytebudget.Results, size) {
		return nil, n.refuseForMemory(bytebudget.Results, size)
	}
	return func() { n.byteBudget.Release(bytebudget.Results, size) }, nil
}

// addHeldBytesMetrics registers the metrics of buffered bytes.
func (m *metrics) addHeldBytesMetrics(registry *prometheus.Registry) {
	m.callersStalled = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corkpulley_hosted_callers_stalled_total", Help: "Callers cut off since they took nothing of their answer.",
	})
	m.memoryRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_memory_refused_total",
		Help: "Calls refused since the node held too much for others, by what they asked to hold.",
	}, []string{"kind"})
	registry.MustRegister(m.callersStalled, m.memoryRefused, &heldBytesCollector{budget: &m.byteBudget})
}

// heldBytesDesc describes the gauge of buffered bytes.
var heldBytesDesc = prometheus.NewDesc(
	"corkpulley_hosted_held_bytes", "Bytes held for callers and engines, by kind.", []string{"kind"}, nil,
)

// heldBytesCollector exports the buffered bytes by kind. It implements prometheus.Collector.
type heldBytesCollector struct {
	budget *atomic.Pointer[bytebudget.Budget]
}

// Describe implements prometheus.Collector.
func (h *heldBytesCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- heldBytesDesc
}

// Collect implements prometheus.Collector.
func (h *heldBytesCollector) Collect(metrics chan<- prometheus.Metric) {
	budget := h.budget.Load()
	for _, kind := range bytebudget.Kinds() {
		metrics <- prometheus.MustNewConstMetric(
			heldBytesDesc, prometheus.GaugeValue, float64(budget.Held(kind)), kind.String(),
		)
	}
}
