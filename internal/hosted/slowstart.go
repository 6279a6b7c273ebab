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

// coldWatchPeriod is the time between two looks at which engines count as cold, for logs and metrics.
const coldWatchPeriod = 500 * time.Millisecond

// newColdPermits returns what admits requests to cold engines, and what asks for that.
func (n *node) newColdPermits() (*coldpermits.Decider, *coldpermits.Asker) {
	decider := coldpermits.NewDecider(n.metrics.coldAdmission)
	return decider, coldpermits.NewAsker(coldpermits.Options{
		Decider: decider, Leader: n.leaderAddress, Client: logrelay.NewClient(), Logger: n.logger,
		Observe: n.metrics.coldPermitAsked,
		Cold: func(engine fleet.Engine) (fleet.Coldness, bool) {
			return n.fleet.Cold(engine.Incarnation(), time.Now())
		},
	})
}

// leaderAddress is where the node that leads listens for others, as far as is known; empty otherwise. A
// wrong one is asked in vain: whoever does not lead says so.
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

// doubtNew counts an engine as cold that this process saw start: unlike one that was there when the
// list was first read, or read for a service that this node had left out, which is as warm as its entry says.
func (n *node) doubtNew(engine fleet.Engine, known bool) {
	if !known && n.engines.IsLoaded() && !n.coverage.wasLeftOut(engine.Service) {
		n.fleet.MarkDoubtful(engine.Incarnation(), fleet.FirstSeen, time.Now())
	}
}

// watchColdEngines tells which engines count as cold, and why.
func (n *node) watchColdEngines(ctx context.Context) error {
	ticker := time.NewTicker(coldWatchPeriod)
	defer ticker.Stop()
	told := make(map[incarnation.ID]fleet.ColdReason)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			told = n.tellColdEngines(told)
			n.coldDecider.Forget()
		}
	}
}

// tellColdEngines writes a line for each engine that counts as cold for another reason than was told.
func (n *node) tellColdEngines(told map[incarnation.ID]fleet.ColdReason) map[incarnation.ID]fleet.ColdReason {
	engines := n.fleet.ColdEngines(time.Now())
	n.metrics.cold.Set(float64(len(engines)))
	if len(engines) == 0 && len(told) == 0 {
		return told
	}
	now := make(map[incarnation.ID]fleet.ColdReason, len(engines))
	for _, each := range engines {
		id := each.Engine.Incarnation()
		now[id] = each.Reason
		if told[id] == each.Reason {
			continue
		}
		n.logger.Info().Stringer("engine", id).Str("service", each.Engine.Service).Str("engine_zone", each.Engine.Zone).
			Stringer("reason", each.Reason).Float64("rate_per_second", each.RatePerSecond).
			Dur("told_left_ms", max(0, time.Until(each.Engine.ColdUntil))).Msg("engine counts as cold")
	}
	return now
}

// addSlowStart builds the metrics of cold engines.
func (m *metrics) addSlowStart() {
	m.cold = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_cold_engines", Help: "Engines that count as cold, as this node knows.",
	})
	m.admissions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_cold_admissions_total",
		Help: "Decisions of the leader on requests to cold engines, by who wanted to send and the outcome.",
	}, []string{"sender", "outcome"})
	m.coldPermits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corkpulley_hosted_cold_permits_total",
		Help: "Questions of this node's requests for a permit to a cold engine, by their outcome.",
	}, []string{"outcome"})
}

func (m *metrics) coldAdmission(sender coldpermits.Sender, outcome coldpermits.Outcome) {
	m.admissions.WithLabelValues(sender.String(), outcome.String()).Inc()
}

func (m *metrics) coldPermitAsked(outcome coldpermits.Outcome) {
	m.coldPermits.WithLabelValues(outcome.String()).Inc()
}
