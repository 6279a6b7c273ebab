package weights

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the result label of directives.
const (
	resultDelivered = "delivered"
	resultFailed    = "failed"
	resultStale     = "stale_epoch"
)

type metrics struct {
	owned      prometheus.Gauge
	wanted     *prometheus.GaugeVec
	behind     *prometheus.GaugeVec
	loading    *prometheus.GaugeVec
	directives *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	byModel := []string{"model"}
	factory := promauto.With(registerer)
	return &metrics{
		owned: factory.NewGauge(prometheus.GaugeOpts{
			Name: "corkpulley_weights_models_owned",
			Help: "Models whose engines this node orders.",
		}),
		wanted: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_weights_wanted_version",
			Help: "Weight version wanted, for models owned by this node.",
		}, byModel),
		behind: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_weights_engines_behind",
			Help: "Engines below the wanted version, for models owned by this node.",
		}, byModel),
		loading: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_weights_engines_loading",
			Help: "Engines that load the model, for models owned by this node.",
		}, byModel),
		directives: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "corkpulley_weights_directives_total",
			Help: "Directives sent to dispatchers, by result.",
		}, []string{"model", "result"}),
	}
}

// deleteModel deletes the gauges of a model that is no longer owned.
func (m *metrics) deleteModel(model string) {
	m.wanted.DeleteLabelValues(model)
	m.behind.DeleteLabelValues(model)
	m.loading.DeleteLabelValues(model)
}
