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
	// heldPart is one in how many bytes of the node's memory may be held for callers and engines. What is held is
	// in memory twice at times, as it came and decoded, and the rest of the node takes some 25 to 100 MB.
	heldPart = 6
	// unknownMemory stands in for the memory of a node that does not know its own.
	unknownMemory = 384 << 20
	// bodyStep is by how much the memory of a body grows whose length was not told.
	bodyStep = 64 << 10
	// memoryRetry is the delay that a caller is told for whom there is no memory: that in which most of those who
	// have some are served.
	memoryRetry = 300 * time.Millisecond
)

// newByteBudget returns what the node may hold for others.
func newByteBudget(node settings.Node) *bytebudget.Budget {
	memory := int64(node.MemoryMB) << 20
	if memory == 0 {
		memory = unknownMemory
	}
	return bytebudget.New(memory / heldPart)
}

// newCallerLimits returns the bounds for callers that read slowly.
func (n *node) newCallerLimits() callerwrite.Limits {
	return callerwrite.Limits{
		Budget: n.bytes, Stall: time.Duration(n.config.Hosted.CallerStall),
		Stalled: func(left int) {
			n.metrics.callersStalled.Inc()
			n.logger.Warn().Int("bytes_left", left).Dur("stall_ms", time.Duration(n.config.Hosted.CallerStall)).
				Msg("caller cut off, it takes nothing of its answer")
		},
	}
}

// CallerLimits implements Callers.
func (n *node) CallerLimits() callerwrite.Limits { return n.callerLimits }

// noMemory is the error for a caller for whom there is no memory now.
func (n *node) noMemory(kind bytebudget.Kind, bytes int64) *errkind.Error {
	n.metrics.memoryRefused.WithLabelValues(kind.String()).Inc()
	failure := errkind.New(errkind.NoCapacity, "no memory for %d bytes more of %s at this node", bytes, kind)
	failure.RetryAfter = memoryRetry
	return failure
}

// HoldResult implements Callers.
func (n *node) HoldResult(bytes int) (release func(), err error) {
	held := int64(bytes)
	if !n.bytes.Reserve(bytebudget.Results, held) {
		return nil, n.noMemory(bytebudget.Results, held)
	}
	return func() { n.bytes.Release(bytebudget.Results, held) }, nil
}

// HoldBody implements Callers.
func (n *node) HoldBody() *HeldBody { return &HeldBody{node: n} }

// HeldBody is the memory held for one body. One goroutine may use it.
type HeldBody struct {
	node  *node
	held  int64
	read  int64
	ended bool
}

// Grow holds so many bytes more, or returns an *errkind.Error.
func (h *HeldBody) Grow(bytes int64) error {
	if !h.node.bytes.Reserve(bytebudget.Bodies, bytes) {
		return h.node.noMemory(bytebudget.Bodies, bytes)
	}
	h.held += bytes
	return nil
}

// Release gives the memory back.
func (h *HeldBody) Release() {
	if !h.ended {
		h.ended = true
		h.node.bytes.Release(bytebudget.Bodies, h.held)
	}
}

// Reader returns a reader of the body that holds memory for what it reads beyond what is held.
func (h *HeldBody) Reader(body io.Reader) io.Reader { return &heldReader{body: body, held: h} }

type heldReader struct {
	body io.Reader
	held *HeldBody
}

// Read implements io.Reader.
func (r *heldReader) Read(into []byte) (int, error) {
	count, err := r.body.Read(into)
	r.held.read += int64(count)
	if r.held.read > r.held.held {
		if failure := r.held.Grow(bodyStep); failure != nil {
			return count, failure
		}
	}
	return count, err
}

// addHeldBytes builds the metrics of what is held for others.
func (m *metrics) addHeldBytes(registry *prometheus.Registry) {
	m.callersStalled = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corkpulley_hosted_callers_stalled_total", Help: "Callers cut off since they took nothing of their answer.",
	})
	m.memoryRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_memory_refused_total",
		Help: "Calls refused since the node held too much for others, by what they asked to hold.",
	}, []string{"kind"})
	registry.MustRegister(m.callersStalled, m.memoryRefused, &heldBytes{budget: &m.bytes})
}

// heldBytesMetric describes the gauges of what a node holds.
var heldBytesMetric = prometheus.NewDesc(
	"corkpulley_hosted_held_bytes", "Bytes held for callers and engines, by kind.", []string{"kind"}, nil,
)

// heldBytes tells what a node holds. It implements prometheus.Collector.
type heldBytes struct {
	budget *atomic.Pointer[bytebudget.Budget]
}

// Describe implements prometheus.Collector.
func (h *heldBytes) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- heldBytesMetric }

// Collect implements prometheus.Collector.
func (h *heldBytes) Collect(metrics chan<- prometheus.Metric) {
	budget := h.budget.Load()
	for _, kind := range bytebudget.Kinds() {
		metrics <- prometheus.MustNewConstMetric(
			heldBytesMetric, prometheus.GaugeValue, float64(budget.Held(kind)), kind.String(),
		)
	}
}
