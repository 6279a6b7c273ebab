package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	modelService  = "huvo11a"
	draftsPrefix  = "/pufi791/"
	secondModel   = "rada7437b5"
	modelEngines  = 6
	loadTime      = 900 * time.Millisecond
	handoverTime  = 95 * time.Second
	namingPeriod  = 4500 * time.Millisecond
	namingStagger = namingPeriod / 2
	firstStop     = 8 * time.Second
	stopPeriod    = 16 * time.Second
	leaseTime     = 3 * time.Second
	// Around each stop, engines leave lateShare of the orders unanswered for lateTime and carry them out late.
	lateShare = 0.5
	lateTime  = 11 * time.Second
	lateLead  = time.Second
)

// playHandover has two trainers name versions of two models, while the node that gives the orders and another one of
// its zone are stopped as planned. Orders of two machines to one engine must be a lease apart while both are in touch.
func playHandover(d *deployment) error {
	var engines []*orderedEngine
	for i := range modelEngines {
		engine, err := serveOrderedEngine(d, standin.EngineOptions{
			ID: fmt.Sprintf("m-%d", i), Service: modelService, Zone: "tumwater", Slots: 16, CheckFences: true,
			Versions: map[string]int64{model: 1, secondModel: 1}, EventTime: streamEventTime, LoadTime: loadTime,
			Events: func(string) int { return streamEvents },
		})
		if err != nil {
			return err
		}
		engines = append(engines, engine)
	}
	for i := range lookupEngines {
		host, err := d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: lookupService, Zone: "tumwater", Slots: lookupSlots, PlainTime: lookupWork,
		}, time.Second)
		if err != nil {
			return err
		}
		defer host.Close()
	}
	d.zones["tumwater"] = region
	err := d.configure(7, []map[string]any{lookupRoute("r-safe", safePrefix, "safe"), {
		"name": "r-drafts", "host": routeHost, "pathPrefix": draftsPrefix, "routeKind": "rollout", "service": modelService,
		"timeoutMs": 10000, "targetMs": 400, "priority": 1, "maxAttempts": 3, "queueTtlS": 40, "resultDueMs": 7500,
		"resumable": true, "sticky": true,
	}}, []map[string]any{{"name": lookupService, "healthPath": "/healthz", "maxConns": 100}, {
		"name": modelService, "healthPath": "/healthz", "maxConns": 170, "engine": map[string]any{
			"slots": 16, "kvCapacity": 52385, "models": []map[string]any{{"name": model}, {"name": secondModel}},
		},
	}})
	if err != nil {
		return err
	}
	for i := range 3 {
		if err := d.addNode(fmt.Sprintf("edge-tumwater-%d", i+1), "tumwater"); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	go d.watchReadiness()
	ctx, stop := context.WithTimeout(d.ctx, handoverTime)
	defer stop()
	var clients sync.WaitGroup
	calls := &callLog{}
	for client := range stopClients {
		clients.Go(func() { sendLookups(ctx, d, client, []string{safePrefix}, calls) })
	}
	go nameVersions(ctx, d)
	if d.trouble {
		go stopLeaders(ctx, d, engines)
	}
	clients.Wait()
	checkTurns(d, engines)
	return nil
}

// nameVersions names the next version of each of two models in turn, as two trainers do.
func nameVersions(ctx context.Context, d *deployment) {
	for version := int64(2); ; version++ {
		for _, name := range []string{model, secondModel} {
			select {
			case <-ctx.Done():
				return
			case <-time.After(namingStagger):
			}
			d.store.PublishVersion(name, version)
			d.record.note("version %d of %s is named", version, name)
		}
	}
}

// stopLeaders stops the node that gave the last order, and another one, again and again.
func stopLeaders(ctx context.Context, d *deployment, engines []*orderedEngine) {
	delay := firstStop
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = stopPeriod
		leaveOrdersUnanswered(d, engines)
		if !d.sleep(lateLead) {
			return
		}
		leader := leaderOf(d, engines)
		if leader == nil {
			continue
		}
		other := d.nodes[0]
		if other == leader {
			other = d.nodes[1]
		}
		for _, n := range []*node{leader, other} {
			n.terminate()
		}
	}
}

// leaveOrdersUnanswered makes the engines leave part of the orders unanswered for a while.
func leaveOrdersUnanswered(d *deployment, engines []*orderedEngine) {
	d.record.note("engines leave %.0f%% of the orders unanswered for %s", 100*lateShare, lateTime)
	for _, engine := range engines {
		engine.setLateShare(lateShare)
	}
	time.AfterFunc(lateTime, func() {
		for _, engine := range engines {
			engine.setLateShare(0)
		}
	})
}

// leaderOf returns the node that gave the last order.
func leaderOf(d *deployment, engines []*orderedEngine) *node {
	var last orderArrival
	for _, engine := range engines {
		for _, order := range engine.orders() {
			if order.at.After(last.at) {
				last = order
			}
		}
	}
	for _, n := range d.nodes {
		if last.machine == n.name {
			return n
		}
	}
	return nil
}

// checkTurns applies the rule to each engine's orders.
func checkTurns(d *deployment, engines []*orderedEngine) {
	nodes := make(map[string]*node)
	for _, n := range d.nodes {
		nodes[n.name] = n
	}
	for _, engine := range engines {
		var last orderArrival
		for _, order := range engine.orders() {
			gap := order.at.Sub(last.at)
			turn := last.machine != "" && order.machine != last.machine && gap < leaseTime
			if turn {
				d.record.note("engine %s got orders of two machines %.3f s apart", engine.ID(), gap.Seconds())
			}
			if turn && nodes[last.machine].inTouch(last.at) && nodes[order.machine].inTouch(order.at) {
				d.record.violation("engine %s got orders of %s at %.3f and of %s at %.3f, %.3f s apart, and both were in touch",
					engine.ID(), last.machine, last.at.Sub(d.record.began).Seconds(), order.machine,
					order.at.Sub(d.record.began).Seconds(), gap.Seconds())
			}
			last = order
		}
	}
}
