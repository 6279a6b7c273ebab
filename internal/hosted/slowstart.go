package hosted

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/logrelay"
)

// coldWatchPeriod is the interval at which cold engines are logged and counted.
const coldWatchPeriod = 500 * time.Millisecond

// newColdPermits returns the granter that admits requests to cold engines while this node leads, and the client that
// requests permits from the leader.
func (n *node) newColdPermits() (*coldpermits.Granter, *coldpermits.Client) {
	granter := coldpermits.NewGranter(n.metrics.coldAdmission)
	return granter, coldpermits.NewClient(coldpermits.Options{
		Granter: granter, Leader: n.leaderAddress, Client: logrelay.NewClient(), Logger: n.logger,
		Observe: n.metrics.coldPermitAsked,
		Cold: func(engine fleet.Engine) (fleet.Coldness, bool) {
			return n.fleet.Cold(engine.Incarnation(), time.Now())
		},
	})
}

// leaderAddress returns the peer address of the leader; empty if the leader is unknown or this node. It may be out of
// date: a node that does not lead rejects the request.
func (n *node) leaderAddress() string {
	leader := n.elector.Holder()
	if leader.Node == n.config.Node.ID {
		return ""
	}
	if leader.Address != "" {
		return leader.Address
	}
	return n.directory.AddressOf(leader.Node)
}

// markNewEngineCold marks an engine as cold if this process saw it start. Engines found by the first read of the
// list, or of a service excluded until now, are cold only if their entries say so.
func (n *node) markNewEngineCold(engine fleet.Engine, known bool) {
	if !known && n.engineFollower.IsLoaded() && !n.coverage.wasExcluded(engine.Service) {
		n.fleet.MarkPossiblyCold(engine.Incarnation(), fleet.FirstSeen, time.Now())
	}
}

// watchColdEngines logs and counts cold engines until ctx ends.
func (n *node) watchColdEngines(ctx context.Context) error {
	ticker := time.NewTicker(coldWatchPeriod)
	defer ticker.Stop()
	logged := make(map[incarnation.ID]fleet.ColdReason)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			logged = n.logColdEngines(logged)
			n.coldGranter.DropExpired()
		}
	}
}

// logColdEngines logs the engines that are cold for another reason than the one in logged, and returns the new
// reasons.
func (n *node) logColdEngines(logged map[incarnation.ID]fleet.ColdReason) map[incarnation.ID]fleet.ColdReason {
	engines := n.fleet.ColdEngines(time.Now())
	n.metrics.coldEngines.Set(float64(len(engines)))
	if len(engines) == 0 && len(logged) == 0 {
		return logged
	}
	reasons := make(map[incarnation.ID]fleet.ColdReason, len(engines))
	for _, each := range engines {
		id := each.Engine.Incarnation()
		reasons[id] = each.Reason
		if logged[id] == each.Reason {
			continue
		}
		n.logger.Info().Stringer("engine", id).Str("service", each.Engine.Service).Str("engine_zone", each.Engine.Zone).
			Stringer("reason", each.Reason).Float64("rate_per_second", each.RatePerSecond).
			Dur("told_left_ms", max(0, time.Until(each.Engine.ColdUntil))).Msg("engine counts as cold")
	}
	return reasons
}

// addSlowStartMetrics creates the metrics of cold engines.
func (m *metrics) addSlowStartMetrics() {
	m.coldEngines = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_cold_engines", Help: "Engines that count as cold, as this node knows.",
	})
	m.coldAdmissions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_cold_admissions_total",
		Help: "Decisions of the leader on requests to cold engines, by who wanted to send and the outcome.",
	}, []string{"sender", "outcome"})
	m.coldPermits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_cold_permits_total",
		Help: "Questions of this node's requests for a permit to a cold engine, by their outcome.",
	}, []string{"outcome"})
}

func (m *metrics) coldAdmission(sender coldpermits.Sender, outcome coldpermits.Outcome) {
	m.coldAdmissions.WithLabelValues(sender.String(), outcome.String()).Inc()
}

func (m *metrics) coldPermitAsked(outcome coldpermits.Outcome) {
	m.coldPermits.WithLabelValues(outcome.String()).Inc()
}
