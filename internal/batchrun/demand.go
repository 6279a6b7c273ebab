package batchrun

import "github.com/corkpulley/corkpulley/internal/core/incarnation"

// RunningByEngine returns the number of running items per engine, omitting engines without any.
func (r *Runner) RunningByEngine() map[incarnation.ID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.AllRunning()
}

// Running returns the number of items running on the engine.
func (r *Runner) Running(engine incarnation.ID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.Running(engine)
}

// FastEngines returns the engines in the fast class of their service; none without classes.
func (r *Runner) FastEngines() map[incarnation.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.FastEngines()
}

// Demand is the work of the open jobs of a model.
type Demand struct {
	// Tokens is the total size of the items of the model's open jobs.
	Tokens int
	// MinVersion is the highest minimum weight version among the model's open jobs.
	MinVersion int64
	// Unfinished is the highest number of items without a result at once since the previous call of Demands. Jobs may
	// begin and end between two calls.
	Unfinished int
	// Waiting is the number of items waiting for an engine.
	Waiting int
}

// Demands returns the demand per model over the jobs of all runners. Each peak of unfinished items is returned once.
func (r *Runner) Demands() map[string]Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := make(map[string]Demand)
	for _, job := range r.jobs {
		demand := demands[job.record.Model]
		demand.MinVersion = max(demand.MinVersion, job.record.MinVersion)
		demand.Tokens += job.tokens
		demand.Unfinished += job.remaining
		demands[job.record.Model] = demand
	}
	// Jobs of other runners need weights as well; how many of their items are waiting is not known here.
	for _, job := range r.otherJobs {
		demand := demands[job.record.Model]
		demand.MinVersion = max(demand.MinVersion, job.record.MinVersion)
		demand.Tokens += job.tokens
		demand.Unfinished += job.remaining
		demands[job.record.Model] = demand
	}
	for model, waiting := range r.plan.WaitingByModel() {
		demand := demands[model]
		demand.Waiting = waiting
		demands[model] = demand
	}
	for model, peak := range r.itemPeaks {
		demand := demands[model]
		demand.Unfinished = max(demand.Unfinished, peak)
		demands[model] = demand
	}
	clear(r.itemPeaks)
	return demands
}

// observeItemPeak records the number of items of a model when a job was added. Must be called with mu held.
func (r *Runner) observeItemPeak(model string) {
	unfinished := 0
	for _, job := range r.jobs {
		if job.record.Model == model {
			unfinished += job.remaining
		}
	}
	for _, job := range r.otherJobs {
		if job.record.Model == model {
			unfinished += job.remaining
		}
	}
	r.itemPeaks[model] = max(r.itemPeaks[model], unfinished)
}

// UnfinishedByService returns the number of unfinished items per service, over the jobs of all runners.
func (r *Runner) UnfinishedByService() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := r.plan.Items()
	for _, job := range r.otherJobs {
		if route, found := r.options.RouteOf(job.record.Host, job.record.Path); found {
			route.distribute(job.remaining, items)
		}
	}
	return items
}
