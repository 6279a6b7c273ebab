package logstream

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// metrics are labeled by stream class: the part of a stream's name before the first "/".
type metrics struct {
	appends     *prometheus.CounterVec
	reads       *prometheus.CounterVec
	verdicts    *prometheus.CounterVec
	skipped     *prometheus.CounterVec
	snapshots   *prometheus.CounterVec
	batchSize   *prometheus.HistogramVec
	readBackLag *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		options := prometheus.CounterOpts{Namespace: "corkpulley", Subsystem: "log", Name: name, Help: help}
		return factory.NewCounterVec(options, append([]string{"class"}, labels...))
	}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		options := prometheus.HistogramOpts{
			Namespace: "corkpulley", Subsystem: "log", Name: name, Help: help, Buckets: buckets,
		}
		return factory.NewHistogramVec(options, []string{"class"})
	}
	return &metrics{
		appends:     counter("appends_total", "Tries of appends by outcome.", "outcome"),
		reads:       counter("reads_total", "Reads by outcome.", "outcome"),
		verdicts:    counter("verdicts_total", "Own records read back, by verdict.", "verdict"),
		skipped:     counter("skipped_records_total", "Malformed records that readers skipped."),
		snapshots:   counter("snapshots_total", "Snapshots by outcome of the append.", "outcome"),
		batchSize:   histogram("batch_records", "Records in one append.", prometheus.ExponentialBuckets(1, 2, 9)),
		readBackLag: histogram("read_back_seconds", "Time from proposal to verdict.", prometheus.ExponentialBuckets(0.001, 2, 14)),
	}
}

// streamClass returns the part of the stream's name before the first "/".
func streamClass(name string) string {
	class, _, _ := strings.Cut(name, "/")
	return class
}

// outcomeLabel returns the outcome label of an append or a read.
func outcomeLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return "failed"
}

func (m *metrics) verdict(class string, verdict logrecord.Verdict) {
	m.verdicts.WithLabelValues(class, verdict.String()).Inc()
}
