package router

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the retry metric's label.
const (
	retryElsewhere = "elsewhere" // refused as not run, sent to another cell
	retryReattach  = "reattach"  // broken stream, attached again
	retryContinue  = "continue"  // lost dispatcher, continued at another cell
	retryDenied    = "denied"    // not retried: the budget was spent
)

type metrics struct {
	retries     *prometheus.CounterVec
	submissions *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		retries: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_router_retries_total",
			Help: "Retries by kind: elsewhere, reattach, continue; denied counts those the budget refused.",
		}, []string{"kind"}),
		submissions: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_router_submissions_total",
			Help: "Submissions to dispatchers by the distance of their cell.",
		}, []string{"distance"}),
	}
}
