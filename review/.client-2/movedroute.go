package main

import (
	"context"
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	movedFrom = "llm-first"
	movedTo   = "llm-second"
	// trainerDeadline is the deadline of a trainer on the pages; at it, the trainer ends its batch job.
	trainerDeadline = 12 * time.Second
	// unservedLimit is how long an item of a step may be at no engine, by the rule LOST.
	unservedLimit = 5 * time.Second
	// settleTime is longer than contactMs, after which all machines are in touch and one of them leads.
	settleTime  = 4 * time.Second
	itemEvents  = 23
	engineSlots = 12
	eventTime   = 40 * time.Millisecond
)

// movedRoute: while items of an accepted batch job wait for a slot, the operator moves the route to another service.
func movedRoute(ctx context.Context, d *deployment, trouble bool) verdict {
	if err := d.addModelEngines([]string{movedFrom, movedFrom, movedTo, movedTo, movedTo}); err != nil {
		return verdict{err: err}
	}
	services := []map[string]any{modelService(movedFrom), modelService(movedTo)}
	d.configure(configuration(3, services, []map[string]any{rolloutRoute("drafts", "/drafts/", movedFrom)}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	step := job{id: "step1", step: 1, groups: 56, size: 4, wanted: 50, prefix: "/drafts/", path: "/drafts/step1"}
	sent := time.Now()
	if !d.submit(ctx, step) {
		return verdict{err: fmt.Errorf("the batch job was not accepted")}
	}
	time.Sleep(time.Second)
	if trouble {
		d.configure(configuration(8, services, []map[string]any{rolloutRoute("drafts", "/drafts/", movedTo)}))
	}
	results := d.readUntil(ctx, step, sent.Add(trainerDeadline))
	return d.checkStep(step, results)
}

// addModelEngines starts an engine of each service named, in the zones in turn.
func (d *deployment) addModelEngines(services []string) error {
	zones := []string{"tumwater", "hillsboro", "wenatchee"}
	for i, service := range services {
		_, err := d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Zone: zones[i%len(zones)], Slots: engineSlots,
			Versions: map[string]int64{modelName: 1}, Events: func(string) int { return itemEvents }, EventTime: eventTime,
			LoadTime: 900 * time.Millisecond, CheckFences: true,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkStep checks LOST: when the step times out at the trainer's deadline, no item that no engine has finished or failed may have been at no
// engine for 5 s, if others of the step have begun and the engines were under half full.
func (d *deployment) checkStep(step job, results []result) verdict {
	now := time.Now()
	listed := make(map[string]bool)
	for _, each := range results {
		listed[each.ID] = true
	}
	lastAt, whole, begun, taken := make(map[string]time.Time), make(map[string]bool), 0, 0
	for _, engine := range d.engines {
		running := 0
		for _, run := range engine.Runs() {
			begun++
			ended := run.EndedAt
			if ended.IsZero() {
				running++
				taken++
				ended = now
			}
			if ended.After(lastAt[run.ID]) {
				lastAt[run.ID] = ended
			}
			whole[run.ID] = whole[run.ID] || run.Whole
		}
		d.record.logf("engine %s (%s): %d runs, %d of %d slots taken at the end", engine.ID(), engine.Service(), len(engine.Runs()), running, engineSlots)
	}
	var v verdict
	lost := 0
	for group := range step.groups {
		for index := range step.size {
			id := step.itemID(group, index)
			if listed[id] || whole[id] || now.Sub(lastAt[id]) < unservedLimit {
				continue
			}
			lost++
			d.record.logf("item %s: not listed, run by no engine", id)
		}
	}
	d.record.logf("%d of %d items listed, %d runs begun, %d items at no engine for 5 s and more", len(results), step.groups*step.size, begun, lost)
	wholeGroups := 0
	for group := range step.groups {
		missing := 0
		for index := range step.size {
			if !listed[step.itemID(group, index)] {
				missing++
			}
		}
		if missing == 0 {
			wholeGroups++
		}
	}
	d.record.logf("%d whole groups listed, the trainer waits for %d", wholeGroups, step.wanted)
	timedOut := wholeGroups < step.wanted
	halfFull := 2*taken >= engineSlots*len(d.engines)
	if timedOut && lost > 0 && begun > 0 && !halfFull {
		v.broken = append(v.broken, fmt.Sprintf("LOST: the step timed out, and %d of its items were at no engine for 5 s", lost))
	}
	return v
}
