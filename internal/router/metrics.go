package router

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the label "kind" of corkpulley_router_retries_total.
const (
	retryElsewhere = "elsewhere" // refused before execution, sent to another cell
	retryReattach  = "reattach"  // reattached after a broken stream
	retryContinue  = "continue"  // continued at another cell after losing the dispatcher
	retryDenied    = "denied"    // retry budget exhausted
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
