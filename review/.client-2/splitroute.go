package main

import (
	"context"
	"fmt"
	"time"
)

const (
	canary = "llm-canary"
	mainly = "llm-main"
)

// splitRoute: the operator splits the route between a small service and the one that it had; then a trainer hands in its
// next step.
func splitRoute(ctx context.Context, d *deployment, trouble bool) verdict {
	if err := d.addModelEngines([]string{canary, mainly, mainly, mainly, mainly, mainly, mainly, mainly, mainly}); err != nil {
		return verdict{err: err}
	}
	services := []map[string]any{modelService(canary), modelService(mainly)}
	d.configure(configuration(3, services, []map[string]any{rolloutRoute("drafts", "/drafts/", mainly)}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	if trouble {
		split := rolloutRoute("drafts", "/drafts/", "")
		delete(split, "service")
		split["split"] = []map[string]any{{"service": canary, "weight": 10}, {"service": mainly, "weight": 90}}
		d.configure(configuration(8, services, []map[string]any{split}))
	}
	time.Sleep(configApply + time.Second)
	step := job{id: "step1", step: 1, groups: 56, size: 4, wanted: 50, prefix: "/drafts/", path: "/drafts/step1"}
	sent := time.Now()
	if !d.submit(ctx, step) {
		return verdict{err: fmt.Errorf("the batch job was not accepted")}
	}
	results := d.readUntil(ctx, step, sent.Add(trainerDeadline))
	return d.checkStep(step, results)
}
