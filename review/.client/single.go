package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	itemEngines   = 6
	itemSlots     = 8
	itemEvents    = 20
	longEvents    = 180
	itemEventTime = 40 * time.Millisecond
	// A step has jobGroups groups of groupItems items. The trainer waits for 90% of the groups, rounded up: all of them.
	jobGroups     = 8
	groupItems    = 4
	jobWanted     = 8
	stepDeadline  = 12 * time.Second
	trainTime     = 500 * time.Millisecond
	readPeriod    = 500 * time.Millisecond
	singleTime    = 75 * time.Second
	leaveAfter    = 2 * time.Second
	drainTime     = 3 * time.Second
	unplacedTime  = 5 * time.Second
	noVersionTime = 6 * time.Second
	longItem      = "long"
)

// trainer asks for steps, as the users' trainers do, and keeps two batch jobs open.
type trainer struct {
	deployment *deployment
	caller     *http.Client

	mu      sync.Mutex
	engines []*modelEngine
	version int64
	namedAt time.Time
}

// batchJob is an open batch job of a step.
type batchJob struct {
	id     string
	step   int
	items  []string
	groups map[string]string
	sent   time.Time
	listed map[string]string
}

// playSingle has a trainer ask for steps on a route with singleVersion. After each second version, the engine that still
// runs an item under an earlier one drains and leaves, and another one is added. No step may run out of time while it holds an item that is at no
// engine.
func playSingle(d *deployment) error {
	t := &trainer{
		deployment: d, version: 1,
		caller: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range itemEngines {
		if err := t.addEngine(); err != nil {
			return err
		}
	}
	d.zones["tumwater"] = region
	err := d.configure(7, []map[string]any{{
		"name": "r-drafts", "host": routeHost, "pathPrefix": draftsPrefix, "routeKind": "rollout", "service": modelService,
		"timeoutMs": 10000, "targetMs": 400, "priority": 1, "maxAttempts": 3, "queueTtlS": 40, "resultDueMs": 7500,
		"singleVersion": true, "resumable": true, "sticky": true,
	}}, []map[string]any{{"name": modelService, "healthPath": "/healthz", "maxConns": 170, "engine": map[string]any{
		"slots": itemSlots, "kvCapacity": 52385, "models": []map[string]any{{"name": model}},
	}}})
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
	ctx, stop := context.WithTimeout(d.ctx, singleTime)
	defer stop()
	for step := 0; ctx.Err() == nil; step += 2 {
		t.playSteps(ctx, step)
	}
	return nil
}

// addEngine adds an engine with the newest version.
func (t *trainer) addEngine() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine, err := serveModelEngine(t.deployment, fmt.Sprintf("i-%d", len(t.engines)), itemSlots, t.version, itemEventTime,
		func(id string) int {
			if strings.HasPrefix(id, longItem) {
				return longEvents
			}
			return itemEvents
		})
	if err == nil {
		t.engines = append(t.engines, engine)
	}
	return err
}

// playSteps asks for two steps at once, and names the next version after each.
func (t *trainer) playSteps(ctx context.Context, step int) {
	first, second := t.newJob(step, false), t.newJob(step+1, true)
	for _, job := range []*batchJob{first, second} {
		if !t.submit(ctx, job) {
			return
		}
	}
	t.finish(ctx, first)
	t.nameNext()
	if t.deployment.trouble {
		go t.removeEngine(second)
	}
	t.finish(ctx, second)
	t.nameNext()
}

// newJob returns a job whose first item is a long one or not.
func (t *trainer) newJob(step int, long bool) *batchJob {
	job := &batchJob{
		id: fmt.Sprintf("job%04d", step), step: step, groups: make(map[string]string), listed: make(map[string]string),
	}
	for group := range jobGroups {
		for i := range groupItems {
			id := fmt.Sprintf("it%03d%02d%02d", step, group, i)
			if long && group == 0 && i == 0 {
				id = longItem + id
			}
			job.items = append(job.items, id)
			job.groups[id] = fmt.Sprintf("g%03d%02d", step, group)
		}
	}
	return job
}

func (t *trainer) nameNext() {
	time.Sleep(trainTime)
	t.mu.Lock()
	t.version++
	t.namedAt = time.Now()
	version := t.version
	t.mu.Unlock()
	t.deployment.store.PublishVersion(model, version)
	t.deployment.record.note("version %d is named", version)
}

// removeEngine drains the engine that runs the job's long item, a while after the last version was named, and adds
// another engine.
func (t *trainer) removeEngine(job *batchJob) {
	time.Sleep(leaveAfter)
	t.mu.Lock()
	engines := t.engines
	t.mu.Unlock()
	for _, engine := range engines {
		if _, running, _, _ := engine.state(job.items[0]); running {
			t.deployment.record.note("engine %s drains; versions of the engines: %v", engine.id, t.versions())
			engine.leave(drainTime)
		}
	}
	time.Sleep(time.Second)
	if err := t.addEngine(); err != nil {
		t.deployment.record.note("no engine added: %v", err)
	}
}

func (t *trainer) versions() []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var versions []int64
	for _, engine := range t.engines {
		if !engine.isGone() {
			versions = append(versions, engine.currentVersion())
		}
	}
	return versions
}

func (t *trainer) submit(ctx context.Context, job *batchJob) bool {
	t.mu.Lock()
	minVersion := max(1, t.version-1)
	t.mu.Unlock()
	var requests []map[string]any
	for _, id := range job.items {
		requests = append(requests, map[string]any{
			"id": id, "path": draftsPrefix + "3/" + id, "group": job.groups[id], "tokenCount": 200,
			"headers": map[string]string{"X-Corkpulley-Model": model, "X-Corkpulley-Token-Count": "16,184"},
			"body":    base64.StdEncoding.EncodeToString([]byte("prompt of " + job.groups[id])),
		})
	}
	raw, err := json.Marshal(map[string]any{
		"step": job.step, "model": model, "minVersion": minVersion, "desiredCount": jobWanted, "requests": requests,
	})
	if err != nil {
		return false
	}
	job.sent = time.Now()
	for ctx.Err() == nil {
		status, _, err := t.call(http.MethodPost, draftsPrefix+job.id, job.id, raw)
		t.deployment.record.note("%s sent, step %d, minVersion %d, %d items: %d %v", job.id, job.step, minVersion, len(job.items), status, err)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(readPeriod)
	}
	return false
}

// finish reads the job's results until all are listed or the deadline, checks the rule, and ends the job.
func (t *trainer) finish(ctx context.Context, job *batchJob) {
	for time.Since(job.sent) < stepDeadline && len(job.listed) < len(job.items) && ctx.Err() == nil {
		began := time.Now()
		t.read(job)
		time.Sleep(max(0, readPeriod-time.Since(began)))
	}
	if ctx.Err() != nil {
		return
	}
	if len(job.listed) == len(job.items) {
		t.deployment.record.note("%s: all %d items listed after %.3f s", job.id, len(job.items), time.Since(job.sent).Seconds())
	} else {
		t.deployment.record.note("%s: out of time, %d of %d items listed", job.id, len(job.listed), len(job.items))
		t.check(job)
	}
	for range 10 {
		status, _, err := t.call(http.MethodDelete, "/lots/"+job.id, "", nil)
		t.deployment.record.note("%s is ended: %d %v", job.id, status, err)
		if status == http.StatusOK {
			return
		}
		time.Sleep(readPeriod)
	}
}

// read adds the job's listed items.
func (t *trainer) read(job *batchJob) {
	status, body, err := t.call(http.MethodGet, fmt.Sprintf("/lots/%s?afterRev=%d", job.id, len(job.listed)), "", nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var page struct {
		Results []struct {
			ID    string `json:"id"`
			State string `json:"state"`
		} `json:"results"`
	}
	if json.Unmarshal(body, &page) != nil {
		return
	}
	for _, result := range page.Results {
		job.listed[result.ID] = result.State
		t.deployment.record.note("%s: %s is %s", job.id, result.ID, result.State)
	}
}

// call sends a request to one of the nodes on a fresh connection.
func (t *trainer) call(method, path, id string, body []byte) (int, []byte, error) {
	n := t.deployment.nodes[rand.IntN(len(t.deployment.nodes))]
	request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = routeHost
	if id != "" {
		request.Header.Set("X-Corkpulley-Attempt-Id", id)
	}
	response, err := t.caller.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// check applies the rule to a step that ran out of time. No engine crashes or fails an item in this case, and the store
// and the links are undisturbed.
func (t *trainer) check(job *batchJob) {
	t.mu.Lock()
	engines, namedAt := t.engines, t.namedAt
	t.mu.Unlock()
	running, slots := 0, 0
	for _, engine := range engines {
		if engine.isGone() {
			continue
		}
		running += engine.runningCount()
		slots += itemSlots
	}
	now := time.Now()
	others := false
	for _, id := range job.items {
		for _, engine := range engines {
			begun, _, _, _ := engine.state(id)
			others = others || begun && job.listed[id] != ""
		}
	}
	for _, id := range job.items {
		if job.listed[id] != "" {
			continue
		}
		atEngine, finished, leftAt, at := false, false, job.sent, ""
		for _, engine := range engines {
			begun, runs, done, left := engine.state(id)
			atEngine, finished = atEngine || runs, finished || done
			if begun {
				at += " " + engine.id
			}
			if left.After(leftAt) {
				leftAt = left
			}
		}
		counts := !atEngine && !finished && now.Sub(leftAt) >= unplacedTime && others && 2*running < slots &&
			now.Sub(namedAt) >= noVersionTime
		if !counts {
			t.deployment.record.note("%s, %s does not count: at an engine %t, finished %t, last at one %.3f s ago, %d running, version named %.3f s ago",
				job.id, id, atEngine, finished, now.Sub(leftAt).Seconds(), running, now.Sub(namedAt).Seconds())
			continue
		}
		t.deployment.record.violation("%s ran out of time; %s was begun by%s, finished or failed by none, and at none for %.3f s; %d of %d slots in use, last version named %.3f s ago, versions %v",
			job.id, id, at, now.Sub(leftAt).Seconds(), running, slots, now.Sub(namedAt).Seconds(), t.versions())
	}
}
