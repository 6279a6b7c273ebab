package hosted

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/logusage"
)

// logCalls counts this node's calls to the event log.
type logCalls struct {
	summary *logusage.Summary
	calls   *prometheus.CounterVec
	bytes   *prometheus.CounterVec
}

func newLogCalls(metrics *metrics, logger zerolog.Logger) *logCalls {
	return &logCalls{summary: logusage.NewSummary(logger), calls: metrics.logCalls, bytes: metrics.logBytes}
}

// countCalls returns a log that counts its calls; relayed marks calls made on behalf of other nodes.
func (c *logCalls) countCalls(log eventlog.Log, relayed bool) eventlog.Log {
	label := strconv.FormatBool(relayed)
	return logusage.New(log, func(call logusage.Call) {
		c.summary.Add(call, relayed)
		c.calls.WithLabelValues(call.Topic, string(call.Operation), string(call.Outcome), label).Inc()
		c.bytes.WithLabelValues(call.Topic, string(call.Operation)).Add(float64(call.Bytes))
	})
}

// addLogCallMetrics registers the metrics of event log calls.
func (m *metrics) addLogCallMetrics(registry *prometheus.Registry) {
	m.logCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_log_calls_total", Help: "Calls of the log by this node, by how they ended.",
	}, []string{"topic", "operation", "outcome", "relayed"})
	m.logBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_log_bytes_total", Help: "Bytes of the records that these calls wrote or read.",
	}, []string{"topic", "operation"})
	registry.MustRegister(m.logCalls, m.logBytes)
}
