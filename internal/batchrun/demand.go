package batchrun

import "github.com/corkpulley/corkpulley/internal/core/incarnation"

// AllRunning returns the number of items that run at each engine, where some do.
func (r *Runner) AllRunning() map[incarnation.ID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.AllRunning()
}

// Running returns the number of items that run at the engine.
func (r *Runner) Running(engine incarnation.ID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.Running(engine)
}

// Demand is what open jobs ask of a model.
type Demand struct {
	// Tokens is the expected output of all items of its open jobs.
	Tokens int
	// MinVersion is the newest of the versions that its open jobs want at least.
	MinVersion int64
	// Items is the number of items of its open jobs without a result.
	Items int
	// Waiting is the number of its items that wait for an engine.
	Waiting int
}

// Demands returns the demand for each model, of the jobs of all runners.
func (r *Runner) Demands() map[string]Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := make(map[string]Demand)
	for _, job := range r.jobs {
		demand := demands[job.record.Model]
		demand.MinVersion = max(demand.MinVersion, job.record.MinVersion)
		demand.Tokens += job.tokens
		demand.Items += job.left
		demands[job.record.Model] = demand
	}
	// The jobs that other runners run ask for weights as well; which of their items wait is not known.
	for _, job := range r.others {
		demand := demands[job.record.Model]
		demand.MinVersion = max(demand.MinVersion, job.record.MinVersion)
		demand.Tokens += job.tokens
		demand.Items += job.left
		demands[job.record.Model] = demand
	}
	for model, waiting := range r.plan.WaitingByModel() {
		demand := demands[model]
		demand.Waiting = waiting
		demands[model] = demand
	}
	return demands
}

// Items returns the number of items of each service that run or wait, here or at other runners.
func (r *Runner) Items() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := r.plan.Items()
	for _, job := range r.others {
		if route, found := r.options.RouteOf(job.record.Host, job.record.Path); found {
			items[route.Service] += job.left
		}
	}
	return items
}
