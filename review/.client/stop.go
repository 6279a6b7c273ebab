package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	lookupService  = "wuno96b"
	safePrefix     = "/lohu930/"
	unsafePrefix   = "/issue44/"
	lookupEngines  = 4
	lookupSlots    = 16
	lookupWork     = 500 * time.Millisecond
	lookupDeadline = 3 * time.Second
	stopClients    = 24
	stopTime       = 40 * time.Second
	retryPause     = 200 * time.Millisecond
	// countedAfterStop and countedUntil bound the requests that count: sent more than three seconds after SIGTERM, and
	// cut no later than a second after the grace period.
	countedAfterStop = 3 * time.Second
	countedUntil     = grace + time.Second
	// usedTimeShare is the share of its time after which a request is taken to be at its deadline.
	usedTimeShare = 0.9
)

// playStop sends short requests while two of the three nodes of a zone are stopped as planned. Fewer than half of the
// zone's nodes are in then, so the platform goes on using all of them. No request that a node has passed on to an
// engine may end without an answer.
func playStop(d *deployment) error {
	engines := make(map[string]*standin.Engine)
	for i := range lookupEngines {
		host, err := d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: lookupService, Zone: "tumwater", Slots: lookupSlots, PlainTime: lookupWork,
		}, time.Second)
		if err != nil {
			return err
		}
		defer host.Close()
		engine := host.Engines()[0]
		engines[engine.ID()] = engine
	}
	d.zones["tumwater"] = region
	err := d.configure(7, []map[string]any{lookupRoute("r-safe", safePrefix, "safe"), lookupRoute("r-unsafe", unsafePrefix, "unsafe")},
		[]map[string]any{{"name": lookupService, "healthPath": "/healthz", "maxConns": 100}})
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
	ctx, stop := context.WithTimeout(d.ctx, stopTime)
	defer stop()
	var clients sync.WaitGroup
	calls := &callLog{}
	for client := range stopClients {
		clients.Go(func() { sendLookups(ctx, d, client, []string{safePrefix, unsafePrefix}, calls) })
	}
	if d.trouble {
		go stopNodes(ctx, d)
	}
	clients.Wait()
	checkCuts(d, engines, calls)
	return nil
}

func lookupRoute(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "routeKind": kind, "service": lookupService,
		"timeoutMs": 3000, "targetMs": 800, "priority": 2, "maxAttempts": 2,
	}
}

// stopNodes stops two of the three nodes, twice.
func stopNodes(ctx context.Context, d *deployment) {
	for range 2 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Second):
		}
		d.nodes[0].terminate()
		d.nodes[1].terminate()
		select {
		case <-ctx.Done():
			return
		case <-time.After(13 * time.Second):
		}
	}
}

// cut is a request that ended without a complete answer.
type cut struct {
	id      string
	node    *node
	stopped time.Time
	sent    time.Time
	ended   time.Time
	err     error
}

type callLog struct {
	mu   sync.Mutex
	cuts []cut
}

// sendLookups sends one request after the other, each on a new connection.
func sendLookups(ctx context.Context, d *deployment, client int, prefixes []string, calls *callLog) {
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i := 0; ctx.Err() == nil; i++ {
		id, prefix := fmt.Sprintf("c%02d-%04d", client, i), prefixes[client%len(prefixes)]
		n := d.choose("tumwater", client)
		sent := time.Now()
		status, err := callLookup(caller, n, prefix, id)
		if err == nil {
			d.record.note("%s%s sent to %s at %.3f: status %d", prefix, id, n.name, sent.Sub(d.record.began).Seconds(), status)
			if status != http.StatusOK {
				time.Sleep(retryPause)
			}
			continue
		}
		d.record.note("%s%s sent to %s at %.3f: no complete answer: %v", prefix, id, n.name,
			sent.Sub(d.record.began).Seconds(), err)
		calls.mu.Lock()
		calls.cuts = append(calls.cuts, cut{id, n, n.lastStop(), sent, time.Now(), err})
		calls.mu.Unlock()
		time.Sleep(retryPause)
	}
}

// callLookup sends a request and reads its whole answer.
func callLookup(caller *http.Client, n *node, prefix, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+prefix+id, strings.NewReader("body of "+id))
	if err != nil {
		return 0, err
	}
	request.Host = routeHost
	request.Header.Set("X-Corkpulley-Attempt-Id", id)
	request.Header.Set("X-Corkpulley-Deadline-Ms", strconv.FormatInt(lookupDeadline.Milliseconds(), 10))
	response, err := caller.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(body) != standin.PlainBody(id) {
		err = errors.New("the body is not the engine's")
	}
	return response.StatusCode, err
}

// checkCuts applies the rule to the requests that ended without an answer: they count if an engine got them, the node
// was being stopped, and none of the rule's excuses holds. No engine breaks off an answer here.
func checkCuts(d *deployment, engines map[string]*standin.Engine, calls *callLog) {
	began := make(map[string]time.Time)
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			began[run.ID] = run.At
		}
	}
	calls.mu.Lock()
	defer calls.mu.Unlock()
	for _, each := range calls.cuts {
		runAt, ran := began[each.id]
		sinceStop := each.sent.Sub(each.stopped)
		atDeadline := float64(each.ended.Sub(each.sent)) > usedTimeShare*float64(lookupDeadline)
		counts := ran && !each.stopped.IsZero() && sinceStop > countedAfterStop &&
			each.ended.Sub(each.stopped) <= countedUntil && !atDeadline
		if !counts {
			d.record.note("%s does not count: passed on %t, sent %.3f s after SIGTERM, ended after %.3f s", each.id, ran,
				sinceStop.Seconds(), each.ended.Sub(each.sent).Seconds())
			continue
		}
		d.record.violation("%s: sent to %s %.3f s after its SIGTERM, at an engine from %.3f, cut at %.3f, %.3f s before its deadline: %v",
			each.id, each.node.name, sinceStop.Seconds(), runAt.Sub(d.record.began).Seconds(),
			each.ended.Sub(d.record.began).Seconds(), (lookupDeadline - each.ended.Sub(each.sent)).Seconds(), each.err)
	}
}
