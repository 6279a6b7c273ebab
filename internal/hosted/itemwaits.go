package hosted

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// itemWaits are the metrics of items that wait for an engine, by the homes of the runner of their jobs.
type itemWaits struct {
	items   *prometheus.GaugeVec
	longest *prometheus.GaugeVec
}

func newItemWaits(registry *prometheus.Registry) *itemWaits {
	labels := []string{"reason", "homes"}
	w := &itemWaits{
		items: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_items_waiting",
			Help: "Items that wait for an engine, by reason, as the runner of the jobs of these homes knows.",
		}, labels),
		longest: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corkpulley_hosted_items_longest_wait_seconds",
			Help: "Time since the latest event or the first queuing of the item that has waited the longest, by reason.",
		}, labels),
	}
	registry.MustRegister(w.items, w.longest)
	return w
}

// of returns a function that records the waiting items of the runner of these homes.
func (w *itemWaits) of(set homes.Set) func(waits map[batchplan.WaitReason]batchplan.WaitCount) {
	return func(waits map[batchplan.WaitReason]batchplan.WaitCount) {
		for _, reason := range batchplan.WaitReasons() {
			count := waits[reason]
			w.items.WithLabelValues(reason.String(), set.String()).Set(float64(count.Items))
			w.longest.WithLabelValues(reason.String(), set.String()).Set(count.Longest.Seconds())
		}
	}
}

// forget removes the values of the runner of these homes.
func (w *itemWaits) forget(set homes.Set) {
	labels := prometheus.Labels{"homes": set.String()}
	w.items.DeletePartialMatch(labels)
	w.longest.DeletePartialMatch(labels)
}
