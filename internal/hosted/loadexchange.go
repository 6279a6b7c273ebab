package hosted

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
	"github.com/corkpulley/corkpulley/internal/logrelay"
	"github.com/corkpulley/corkpulley/internal/peerload"
)

// newLoadExchange returns the exchange of load data with other nodes; nil if the settings have none.
func (n *node) newLoadExchange() *peerload.Exchange {
	interval := time.Duration(n.config.Hosted.LoadExchange)
	if interval == 0 {
		return nil
	}
	return peerload.New(peerload.Options{
		Node: n.config.Node.ID, Zone: n.config.Node.Zone, Interval: interval, Nodes: n.liveNodes,
		OwnLoad: n.ownLoad, SetPeerLoad: n.setPeerLoad,
		Client: n.countTraffic(logrelay.NewClient(), loadTraffic), Logger: n.logger,
		Observe: n.metrics.loadExchanged, ObserveView: n.metrics.loadViewChanged,
	})
}

// exchangeLoad exchanges load data until ctx ends, if the settings say so.
func (n *node) exchangeLoad(ctx context.Context) error {
	if n.loadExchange == nil {
		return nil
	}
	return n.loadExchange.Run(ctx)
}

func (n *node) liveNodes() []loadexchange.Node {
	var nodes []loadexchange.Node
	for _, live := range n.directory.LiveNodes() {
		nodes = append(nodes, loadexchange.Node{ID: live.Node, Zone: live.Zone, Address: live.Address})
	}
	return nodes
}

// ownLoad returns this node's load data with times of package boottime, which goes on while the machine is suspended.
func (n *node) ownLoad(now time.Time) []loadexchange.Entry {
	wallNow := time.Now()
	return convertTimes(n.fleet.OwnLoad(wallNow), wallNow, now)
}

// setPeerLoad uses load data of other nodes, which has times of package boottime.
func (n *node) setPeerLoad(entries []loadexchange.Entry) {
	wallNow := time.Now()
	n.fleet.SetPeerLoad(convertTimes(entries, boottime.Now(), wallNow))
	n.relay.EnginesChanged()
}

// convertTimes converts the times of entries between two clocks, of which both arguments are the current time.
func convertTimes(entries []loadexchange.Entry, from, to time.Time) []loadexchange.Entry {
	convert := func(at time.Time) time.Time {
		if at.IsZero() {
			return at
		}
		return to.Add(-from.Sub(at))
	}
	converted := make([]loadexchange.Entry, 0, len(entries))
	for _, entry := range entries {
		entry.CountedAt, entry.ReportedAt = convert(entry.CountedAt), convert(entry.ReportedAt)
		converted = append(converted, entry)
	}
	return converted
}

// addLoadExchangeMetrics creates the metrics of the load exchange.
func (m *metrics) addLoadExchangeMetrics(registry *prometheus.Registry) {
	m.loadExchanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_load_exchanges_total",
		Help: "Messages with the load of engines, by what they are of and the outcome.",
	}, []string{"kind", "outcome"})
	m.loadViewEngines = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_load_view_engines", Help: "Engines whose load at other nodes this node knows.",
	})
	registry.MustRegister(m.loadExchanges, m.loadViewEngines)
}

func (m *metrics) loadExchanged(kind peerload.Kind, outcome peerload.Outcome) {
	m.loadExchanges.WithLabelValues(string(kind), string(outcome)).Inc()
}

func (m *metrics) loadViewChanged(engines int) { m.loadViewEngines.Set(float64(engines)) }
