package hosted

import (
	"context"
	"strconv"
	"sync"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/leadership"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/internal/weightorders"
)

// lead performs the work of the leader: the items of batch jobs that are not bound to regions, weight versions for all
// services, and the platform duties.
func (n *node) lead(ctx context.Context, term leadership.Term) {
	n.itemRunners.Add(1)
	defer n.itemRunners.Add(-1)
	var runner *batchrun.Runner
	orders := weightorders.New(weightorders.Options{
		Engines: n.platform.Engines(), Fleet: n.fleet, Gate: n.gate, Targets: n.weightTargets,
		Running:   func() map[incarnation.ID]int { return runner.RunningByEngine() },
		Demands:   func() map[string]batchrun.Demand { return runner.Demands() },
		Fast:      func() map[incarnation.ID]bool { return runner.FastEngines() },
		OnLoadEnd: func() { runner.Wake() },
		Term:      term, Holder: n.holder, Fence: term.Epoch, Logger: n.logger,
	})
	defer n.coldGranter.Lead(term.Valid)()
	runner = batchrun.New(batchrun.Options{
		Jobs: n.jobs, Engines: n.engineCalls, Fleet: n.fleet, Scorer: n, Crashes: n.crashDetector, Gate: n.gate,
		DueOrder: n.ordersByDue(), OnJobDecision: n.metrics.jobDecided,
		ColdStarts: n.coldGranter, RouteOf: n.batchRoute, HomesOf: n.jobHomes, ConfigVersion: n.configVersion,
		EngineTokensOf: n.engineTokens, Seed: seedOf(n.holder),
		LoadingModel: orders.LoadingModel, LoadingModels: orders.LoadingModels,
		MixedEngines: n.mixedEngines(), OnOutputDropped: n.metrics.outputDropped,
		OnMove: n.metrics.itemMoved, OnFastEngines: n.metrics.fastEnginesOf(homes.Set{}),
		OnWaits: n.metrics.itemWaits.of(homes.Set{}),
		Term:    strconv.FormatInt(term.Epoch, 10), Logger: n.logger,
	})
	defer n.metrics.forgetFastEngines(homes.Set{})
	defer n.metrics.itemWaits.forget(homes.Set{})
	n.metrics.leading.Set(1)
	defer n.metrics.leading.Set(0)
	n.runner.Store(runner)
	defer n.runner.Store(nil)
	var tasks sync.WaitGroup
	n.startDuties(ctx, &tasks, term, runner)
	tasks.Go(func() { runner.Run(ctx) })
	tasks.Go(func() { orders.Run(ctx) })
	tasks.Go(func() { n.crashGuard.Sweep(ctx) })
	tasks.Wait()
}

// batchRoute returns how a job's items are run under the configuration in force.
func (n *node) batchRoute(host, path string) (batchrun.Route, bool) {
	table := n.state.table()
	if table == nil {
		return batchrun.Route{}, false
	}
	route := table.MatchJob(host, path)
	if route == nil || len(route.Parts) == 0 {
		return batchrun.Route{}, false
	}
	return batchrun.Route{
		Name: route.Name, Parts: route.Parts, MaxAttempts: route.MaxAttempts,
		SingleVersion: route.SingleVersion, Retention: route.Retention, ResultsDueAfter: route.ResultsDueAfter,
	}, true
}

// engineTokens returns the memory of one engine of a service in tokens; zero when unknown.
func (n *node) engineTokens(name string) int {
	table := n.state.table()
	if table == nil {
		return 0
	}
	service, _ := table.Service(name)
	return service.EngineTokens
}

// ordersByDue reports whether jobs are ordered by due times.
func (n *node) ordersByDue() bool { return n.config.Scheduling.JobOrder == settings.JobOrderDue }

// mixedEngines reports whether engines of a service may differ in speed.
func (n *node) mixedEngines() bool { return n.config.Scheduling.EngineSpeeds == settings.EnginesMixed }

// weightTargets returns the named model versions of each service on a batch route.
func (n *node) weightTargets() []weightorders.Target {
	table := n.state.table()
	if table == nil {
		return nil
	}
	namedVersions := n.state.namedVersions()
	byService := make(map[string]*weightorders.Target)
	var targets []weightorders.Target
	for _, route := range table.BatchRoutes() {
		for _, part := range route.Parts {
			service, found := table.Service(part.Service)
			if !found {
				continue
			}
			target, known := byService[service.Name]
			if !known {
				target = &weightorders.Target{Service: service.Name, Versions: make(map[string]int64)}
				byService[service.Name] = target
			}
			target.SingleVersion = target.SingleVersion || route.SingleVersion
			for _, model := range service.Models {
				target.Versions[model] = namedVersions[model]
			}
		}
	}
	for _, target := range byService {
		targets = append(targets, *target)
	}
	return targets
}
