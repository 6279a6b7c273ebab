package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts what happens to slots and samples on this node.
type metrics struct {
	runs    *prometheus.CounterVec
	samples *prometheus.CounterVec
	owned   prometheus.Gauge
	running prometheus.Gauge
}

// Results of one run of a slot.
const (
	resultFilled   = "filled"
	resultTooOld   = "too_old"
	resultFailed   = "failed"
	resultNotTaken = "not_taken"
)

// Events in the life of a recorded sample.
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
