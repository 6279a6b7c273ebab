package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the slot and sample metrics of this node.
type metrics struct {
	runs    *prometheus.CounterVec
	samples *prometheus.CounterVec
	owned   prometheus.Gauge
	running prometheus.Gauge
}

// Values of the result label of slot runs.
const (
	resultFilled   = "filled"
	resultStale    = "too_old"
	resultFailed   = "failed"
	resultRejected = "not_taken"
)

// Values of the event label of recorded samples.
const (
	eventDelivered    = "delivered"
	eventAcknowledged = "acknowledged"
	eventRejected     = "rejected"
	eventDiscarded    = "discarded"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		runs: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_coordinator_slot_runs_total",
			Help: "Runs of trainers' slots that ended, by trainer and result.",
		}, []string{"trainer", "result"}),
		samples: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_coordinator_samples_total",
			Help: "Recorded samples by trainer and event.",
		}, []string{"trainer", "event"}),
		owned: factory.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_coordinator_owned_ledgers",
			Help: "Ledgers that this node believes it owns.",
		}),
		running: factory.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_coordinator_running_slots",
			Help: "Slots that run, are being scored or recorded.",
		}),
	}
}
