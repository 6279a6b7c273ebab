package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/scaling"
	"github.com/corkpulley/corkpulley/internal/duties"
	"github.com/corkpulley/corkpulley/internal/leadership"
	"github.com/corkpulley/corkpulley/internal/settings"
)

// usageWindow is the reporting interval of usage; zero if usage is not reported.
func usageWindow(hosted settings.Hosted) time.Duration {
	if !hosted.HasDuty(settings.DutyUsage) {
		return 0
	}
	return time.Duration(hosted.UsageWindow)
}

// startDuties starts the configured tasks that the leader performs for the platform.
func (n *node) startDuties(ctx context.Context, tasks *sync.WaitGroup, term leadership.Term, runner *batchrun.Runner) {
	hosted := n.config.Hosted
	holder := duties.Holder{Node: n.config.Node.ID, Fence: term.Epoch}
	if hosted.HasDuty(settings.DutyUsage) {
		reporter := duties.NewReporter(duties.ReporterOptions{
			Log: n.log, Platform: n.platform.Duties(), Term: term, Holder: holder,
			Span: time.Duration(hosted.UsageWindow), ReportDelay: time.Duration(hosted.UsageDue), Logger: n.logger,
		})
		tasks.Go(func() { reporter.Run(ctx) })
	}
	if hosted.HasDuty(settings.DutyScaler) {
		scaler := duties.NewScaler(duties.ScalerOptions{
			Platform: n.platform.Duties(), Term: term, Holder: holder, Logger: n.logger,
			Services: func() []duties.ScaledService { return n.scaledServices(runner) },
		})
		tasks.Go(func() { scaler.Run(ctx) })
	}
}

// scaledServices returns the services that may be scaled, with their bounds, demand and engines by zone.
func (n *node) scaledServices(runner *batchrun.Runner) []duties.ScaledService {
	table := n.state.table()
	if table == nil {
		return nil
	}
	items := runner.UnfinishedByService()
	evacuated := make(map[string]bool)
	for _, zone := range n.fleet.EvacuatedZones() {
		evacuated[zone] = true
	}
	var scaled []duties.ScaledService
	for _, service := range table.AutoscaledServices() {
		engines := make(map[string]int)
		slots := 1
		for _, engine := range n.fleet.Engines(service.Name) {
			if !engine.Draining {
				engines[engine.Zone]++
				slots = max(slots, engine.Slots)
			}
		}
		bounds := service.Scaling.Bounds
		bounds.Evacuated = evacuated
		scaled = append(scaled, duties.ScaledService{
			Name: service.Name, Bounds: bounds, BootTime: service.Scaling.BootTime,
			Demand: scaling.Demand{Items: items[service.Name], Slots: slots}, Engines: engines,
		})
	}
	return scaled
}
