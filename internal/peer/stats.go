package peer

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// methodOther counts frames that belong to no method: hello, credit, cancel, ping and pong.
const methodOther Method = "other"

var countedMethods = []Method{
	MethodProbe, MethodProbeIndirect, MethodGossip, MethodTable, MethodSubmit, MethodDirective,
	MethodKeyed, MethodTrainer, MethodCellStatus, MethodStepStatus, methodOther,
}

// MethodStats counts the frames and bytes of a method since the transport was created. Bytes include frame
// headers, but no TCP and IP headers. In-process calls are not counted.
type MethodStats struct {
	MessagesSent     uint64
	BytesSent        uint64
	MessagesReceived uint64
	BytesReceived    uint64
}

type methodCounters struct {
	messagesSent, bytesSent, messagesReceived, bytesReceived atomic.Uint64
}

func (c *methodCounters) addSent(bytes int) {
	c.messagesSent.Add(1)
	c.bytesSent.Add(uint64(bytes))
}

func (c *methodCounters) addReceived(bytes int) {
	c.messagesReceived.Add(1)
	c.bytesReceived.Add(uint64(bytes))
}

func (c *methodCounters) read() MethodStats {
	return MethodStats{
		MessagesSent:     c.messagesSent.Load(),
		BytesSent:        c.bytesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		BytesReceived:    c.bytesReceived.Load(),
	}
}

// trafficStats holds the counters by method. The map is read-only.
type trafficStats struct {
	byMethod map[Method]*methodCounters
	other    *methodCounters
}

func newTrafficStats() *trafficStats {
	stats := &trafficStats{byMethod: make(map[Method]*methodCounters, len(countedMethods))}
	for _, method := range countedMethods {
		stats.byMethod[method] = &methodCounters{}
	}
	stats.other = stats.byMethod[methodOther]
	return stats
}

// method returns the counters of a method; unlisted methods are counted as methodOther.
func (s *trafficStats) method(method Method) *methodCounters {
	if counters, ok := s.byMethod[method]; ok {
		return counters
	}
	return s.other
}

func (s *trafficStats) read() map[Method]MethodStats {
	result := make(map[Method]MethodStats, len(s.byMethod))
	for method, counters := range s.byMethod {
		result[method] = counters.read()
	}
	return result
}

var (
	messagesDescription = prometheus.NewDesc("corkpulley_peer_messages_total",
		"Frames exchanged with peers.", []string{"method", "direction"}, nil)
	bytesDescription = prometheus.NewDesc("corkpulley_peer_bytes_total",
		"Bytes exchanged with peers, frame headers included.", []string{"method", "direction"}, nil)
)

// Describe implements prometheus.Collector.
func (s *trafficStats) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- messagesDescription
	descriptions <- bytesDescription
}

// Collect implements prometheus.Collector.
func (s *trafficStats) Collect(metrics chan<- prometheus.Metric) {
	for method, stats := range s.read() {
		sendCounter(metrics, messagesDescription, stats.MessagesSent, method, "sent")
		sendCounter(metrics, messagesDescription, stats.MessagesReceived, method, "received")
		sendCounter(metrics, bytesDescription, stats.BytesSent, method, "sent")
		sendCounter(metrics, bytesDescription, stats.BytesReceived, method, "received")
	}
}

func sendCounter(
	metrics chan<- prometheus.Metric, description *prometheus.Desc, value uint64, method Method, direction string,
) {
	metrics <- prometheus.MustNewConstMetric(
		description, prometheus.CounterValue, float64(value), string(method), direction)
}
