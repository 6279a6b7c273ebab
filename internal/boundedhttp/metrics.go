package boundedhttp

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/core/connections"
)

// Metrics count the connections of a node's listeners.
type Metrics struct {
	closed    *prometheus.CounterVec
	open      *prometheus.Desc
	listeners map[string]*connections.Group
	set       *connections.Set
}

// NewMetrics returns metrics whose names begin with the prefix.
func NewMetrics(prefix string) *Metrics {
	return &Metrics{
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "_connections_closed_total",
			Help: "Connections closed although their clients had not left, by listener and reason.",
		}, []string{"listener", "reason"}),
		open: prometheus.NewDesc(prefix+"_connections", "Open connections of clients, by listener.", []string{"listener"}, nil),
	}
}

// SetListeners sets the listeners whose connections are exported. It must be called before metrics are collected.
func (m *Metrics) SetListeners(listeners Listeners) {
	m.set = listeners.Set
	m.listeners = map[string]*connections.Group{
		"callers": listeners.Callers, "peers": listeners.Peers, "operators": listeners.Operators,
	}
	for name := range m.listeners {
		for _, reason := range CloseReasons() {
			m.closed.WithLabelValues(name, string(reason))
		}
	}
}

// OnClosed returns a function that counts the closed connections of a listener; see Options.
func (m *Metrics) OnClosed(listener string) func(reason CloseReason) {
	return func(reason CloseReason) { m.closed.WithLabelValues(listener, string(reason)).Inc() }
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	m.closed.Describe(descriptions)
	descriptions <- m.open
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(metrics chan<- prometheus.Metric) {
	m.closed.Collect(metrics)
	for name, group := range m.listeners {
		metrics <- prometheus.MustNewConstMetric(m.open, prometheus.GaugeValue, float64(m.set.Count(group)), name)
	}
}
