package hosted

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/settings"
)

const (
	// The node's memory divided by memoryDivisor may be buffered for callers and engines. Buffered data may exist
	// twice, raw and decoded, and the rest of the node takes some 25 to 100 MB.
	memoryDivisor = 6
	// defaultMemoryBytes is assumed if the node's memory is not configured.
	defaultMemoryBytes = 384 << 20
	// bodyGrowBytes is the step by which the reservation grows for a body of unknown length.
	bodyGrowBytes = 64 << 10
	// memoryRetryAfter is the Retry-After delay of requests that are refused for lack of memory.
	memoryRetryAfter = 300 * time.Millisecond
)

// newByteBudget returns the budget of bytes buffered for callers and engines.
func newByteBudget(node settings.Node) *bytebudget.Budget {
	return bytebudget.New(byteBudgetLimit(node))
}

// byteBudgetLimit returns the size of the byte budget.
func byteBudgetLimit(node settings.Node) int64 {
	memory := int64(node.MemoryMB) << 20
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	return memory / memoryDivisor
}

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

// ReserveBody implements CallerService.
func (n *node) ReserveBody() *BodyReservation { return &BodyReservation{node: n} }

// BodyReservation is the memory reserved for one request body. It is not safe for concurrent use.
type BodyReservation struct {
	node     *node
	reserved int64
	read     int64
	released bool
}

// Grow reserves more bytes. It returns an *errkind.Error if the budget is exhausted.
func (r *BodyReservation) Grow(bytes int64) error {
	if !r.node.byteBudget.Reserve(bytebudget.Bodies, bytes) {
		return r.node.refuseForMemory(bytebudget.Bodies, bytes)
	}
	r.reserved += bytes
	return nil
}

// Release returns the reserved memory to the budget. Further calls have no effect.
func (r *BodyReservation) Release() {
	if !r.released {
		r.released = true
		r.node.byteBudget.Release(bytebudget.Bodies, r.reserved)
	}
}

// Reader returns a reader of the body that reserves memory for bytes read beyond the reservation.
func (r *BodyReservation) Reader(body io.Reader) io.Reader {
	return &reservingReader{body: body, reservation: r}
}

type reservingReader struct {
	body        io.Reader
	reservation *BodyReservation
}

// Read implements io.Reader.
func (r *reservingReader) Read(into []byte) (int, error) {
	count, err := r.body.Read(into)
	r.reservation.read += int64(count)
	if r.reservation.read > r.reservation.reserved {
		if failure := r.reservation.Grow(bodyGrowBytes); failure != nil {
			return count, failure
		}
	}
	return count, err
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
