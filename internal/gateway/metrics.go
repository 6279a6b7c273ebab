package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const (
	// codeOK labels complete answers.
	codeOK = "ok"
	// serviceUnknown labels requests that name no live service, so that callers cannot create label
	// values.
	serviceUnknown = "unknown"

	tokensPrompt     = "prompt"
	tokensCached     = "cached"
	tokensCompletion = "completion"
)

// durationBuckets are in seconds, from 5 ms to about 5.5 min.
var durationBuckets = prometheus.ExponentialBuckets(0.005, 2, 17)

type metrics struct {
	requests         *prometheus.CounterVec
	timeToFirstToken *prometheus.HistogramVec
	duration         *prometheus.HistogramVec
	tokens           *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_gateway_requests_total",
			Help: "Requests by service and code: ok, or the code of the error.",
		}, []string{"service", "code"}),
		timeToFirstToken: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "corkpulley_gateway_time_to_first_token_seconds",
			Help:    "Time from the request's arrival to its first token.",
			Buckets: durationBuckets,
		}, []string{"service"}),
		duration: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "corkpulley_gateway_request_duration_seconds",
			Help:    "Time from the request's arrival to the end of its answer.",
			Buckets: durationBuckets,
		}, []string{"service"}),
		tokens: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_gateway_tokens_total",
			Help: "Tokens by service and kind: prompt (estimated), cached, completion.",
		}, []string{"service", "kind"}),
	}
}
