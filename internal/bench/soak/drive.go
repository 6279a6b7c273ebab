package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// callGap is the time between two requests of one live caller.
	callGap      = 120 * time.Millisecond
	callDeadline = 4 * time.Second
	callTimeout  = 8 * time.Second
	// probeGap is the time between two probes of one node, configGap between two
	// configurations, beyond the bound for one of them, keptRoutes how many of their
	// routes a configuration holds.
	probeGap   = 150 * time.Millisecond
	configGap  = 7 * time.Second
	keptRoutes = 3
	// versionGap is the least time between two versions of a burst, of burstLength on the
	// mean, versionPause the least time between two bursts.
	versionGap   = 150 * time.Millisecond
	versionPause = 2 * time.Second
	burstLength  = 15
	// trainers submit one job after the other.
	trainers    = 2
	itemsPerJob = 48
	groupSize   = 4
	readWait    = 500 * time.Millisecond
	retryGap    = 150 * time.Millisecond
	// settleTime is how long a position that was read may be missing elsewhere.
	settleTime = 1500 * time.Millisecond
	// keptTime is below the time for which nodes keep a job.
	keptTime     = 80 * time.Second
	submitTries  = 8
	earlyEndPart = 5
	// failingPart and neverPart are one in how many items always fail or can
	// never be run.
	failingPart = 30
	neverPart   = 40
)

// Prefixes of the live routes beside the lookups.
const (
	prefixPermit = "/permit/"
	prefixStream = "/stream/"
)

// driver sends the load of a soak.
type driver struct {
	deployment *deployment
	history    *History
	client     *standin.Client

	// crashes is true where requests are sent under which engines end.
	crashes bool
	// placement is true under placement faults, changesHomes where the homes of routes and
	// tenants change with configurations.
	placement    bool
	changesHomes bool
	// version is the newest weight version named; config the newest configuration.
	version atomic.Int64
	config  atomic.Int64
	ids     atomic.Int64

	callers sync.WaitGroup
	jobs    sync.WaitGroup
}

func newDriver(d *deployment) *driver {
	driver := &driver{
		deployment: d, history: d.history, client: standin.NewClient(callTimeout),
	}
	driver.version.Store(1)
	return driver
}

func (v *driver) anyNode() *node { return v.deployment.nodes[rand.IntN(len(v.deployment.nodes))] }

func (v *driver) newID(prefix string) string {
	return fmt.Sprintf("%s%d", prefix, v.ids.Add(1))
}

// configure puts the next configuration in force.
func (v *driver) configure() {
	version := v.config.Load() + 1
	routes := []standin.Route{
		{Name: "lookup", Prefix: standin.PrefixLookup, Kind: standin.RouteSafe, Service: standin.ServiceLookup},
		{Name: "permit", Prefix: prefixPermit, Kind: standin.RouteUnsafe, Service: standin.ServiceLookup},
		{Name: "stream", Prefix: prefixStream, Kind: standin.RouteStream, Service: standin.ServiceDrafts},
		{Name: "drafts", Prefix: standin.PrefixDrafts, Kind: standin.RouteBatch, Service: standin.ServiceDrafts},
		{Name: "scoring", Prefix: standin.PrefixScoring, Kind: standin.RouteSafe, Service: standin.ServiceLookup},
	}
	for kept := max(1, version-keptRoutes+1); kept <= version; kept++ {
		routes = append(routes, standin.Route{
			Name: fmt.Sprintf("probe-%d", kept), Prefix: probePrefix(kept), Kind: standin.RouteSafe, Service: standin.ServiceLookup,
		})
	}
	configuration := standin.Configuration{Version: version, Routes: routes, Tenants: tenantsOf(version)}
	config := ConfigSeen{Version: version, SentAt: time.Now()}
	if v.placement {
		config.Homes = v.homesOf(version)
		bindToRegions(&configuration, config.Homes)
	}
	v.deployment.store.store.Configure(configuration)
	config.AckedAt = time.Now()
	v.history.update(func() { v.history.Configs = append(v.history.Configs, config) })
	v.config.Store(version)
}

func probePrefix(version int64) string { return fmt.Sprintf("/probe-%d/", version) }

// operate changes the configuration until ctx ends.
func (v *driver) operate(ctx context.Context) {
	for retry.Sleep(ctx, configGap) {
		v.configure()
	}
}

// probe asks one node for the newest configuration's route until ctx ends.
func (v *driver) probe(ctx context.Context, target *node) {
	for retry.Sleep(ctx, probeGap) {
		version := v.config.Load()
		_, life := target.current()
		path, sent := probePrefix(version)+"x", time.Now()
		id := v.newID("probe-")
		answer, err := v.client.WithKey(settledKey(version)).Live(ctx, target.callers, path, id, "", callDeadline)
		v.history.addCall(LiveCall{ID: id, Path: path, Kind: standin.RouteSafe, SentAt: sent, Answer: answer, Whole: err == nil})
		_, after := target.current()
		newest := v.config.Load()
		if err != nil || life != after || newest >= version+keptRoutes {
			continue
		}
		if answer.Status == statusUnauthorized && newest > version {
			// The key was taken away by a configuration that came meanwhile.
			continue
		}
		v.history.update(func() {
			v.history.Probes = append(v.history.Probes, Probe{
				Node: target.number, Life: life, Version: version, SentAt: sent, EndedAt: time.Now(), Status: answer.Status,
			})
		})
	}
}

// traffic is what one live caller sends.
type traffic struct {
	kind   string
	prefix string
	// tenant is whose key is shown; tenantLive when empty.
	tenant string
	gap    time.Duration
}

// call sends live requests of one kind until ctx ends.
func (v *driver) call(ctx context.Context, sent traffic) {
	for retry.Sleep(ctx, sent.gap) {
		id := v.newID(sent.kind + "-")
		v.send(ctx, LiveCall{ID: id, Path: sent.prefix + id, Body: "body of " + id, Kind: sent.kind, Tenant: sent.tenant})
	}
}

// send sends a live request to any node and notes what came back.
func (v *driver) send(ctx context.Context, call LiveCall) {
	call.SentAt = time.Now()
	key := settledKey(v.config.Load())
	if call.Tenant == tenantHomed {
		key = keyHomed
	}
	client := v.client.WithKey(key)
	var err error
	call.Answer, err = client.Live(ctx, v.anyNode().callers, call.Path, call.ID, call.Body, callDeadline)
	call.Whole = err == nil
	v.history.addCall(call)
}

// train submits one job after the other until ctx ends; the last one goes on
// until lasting ends.
func (v *driver) train(ctx, lasting context.Context, trainer int) {
	for step := int64(0); ctx.Err() == nil; step++ {
		job := v.newJob(trainer, step)
		seen := v.history.addJob(job, trainer)
		if !v.submit(lasting, seen) {
			continue
		}
		v.readUntilDone(lasting, seen)
		v.nameVersion()
	}
}

func (v *driver) nameVersion() {
	v.deployment.store.store.NameVersion(standin.ModelDrafts, v.version.Add(1))
}

// nameVersions names one weight version after the other until ctx ends, in bursts with
// pauses between: a pause lets a leader forgo orders for longer than the quiet time, so
// that the next one may order at once.
func (v *driver) nameVersions(ctx context.Context) {
	for {
		gap := versionGap + rand.N(versionGap)
		if rand.IntN(burstLength) == 0 {
			gap = versionPause + rand.N(versionPause)
		}
		if !retry.Sleep(ctx, gap) {
			return
		}
		v.nameVersion()
	}
}

func (v *driver) newJob(trainer int, step int64) standin.Job {
	job := standin.Job{
		ID: fmt.Sprintf("job-%d-%d", trainer, step), Step: step, MinVersion: max(1, v.version.Load()-1),
	}
	crashing := -1
	if v.crashes && rand.IntN(crashingPart) == 0 {
		crashing = rand.IntN(itemsPerJob)
	}
	for i := range itemsPerJob {
		prefix := "item-"
		switch {
		case i == crashing:
			prefix = crashPrefix
		case rand.IntN(failingPart) == 0:
			prefix = failPrefix
		case rand.IntN(neverPart) == 0:
			prefix = neverPrefix
		}
		id := v.newID(fmt.Sprintf("%s%d-%d-", prefix, trainer, step))
		job.Items = append(job.Items, standin.JobItem{
			ID: id, Group: fmt.Sprintf("group-%d-%d-%d", trainer, step, i/groupSize), Body: v.bodyOf(trainer, id),
			ScoringID: scoringIDOf(id),
		})
	}
	return job
}

// submit hands a job in at one node after the other until one takes it. It gives
// up after some tries, unless the job may have been taken.
func (v *driver) submit(ctx context.Context, seen *JobSeen) bool {
	refusals, tries := 0, 0
	for ; ctx.Err() == nil && (tries < submitTries || refusals < tries); tries++ {
		at := v.nodeFor(seen)
		status, err := v.client.WithKey(seen.Key).Submit(ctx, at.callers, seen.Job)
		switch {
		case err == nil && status == http.StatusAccepted:
			v.history.update(func() { seen.Accepted = true })
			return true
		case err == nil && standin.Refused(status):
			refusals++
		}
		retry.Sleep(ctx, retryGap)
	}
	v.history.update(func() { seen.AllRefused = tries > 0 && refusals == tries })
	return false
}

// readUntilDone reads a job at one node after the other until it is listed whole
// or its trainer ends it early.
func (v *driver) readUntilDone(ctx context.Context, seen *JobSeen) {
	early := rand.IntN(earlyEndPart) == 0
	for ctx.Err() == nil {
		from := 0
		v.history.update(func() { from = len(seen.Positions) })
		if rand.IntN(earlyEndPart) == 0 {
			from = rand.IntN(from + 1) // reads again what it has read
		}
		results, status, err := v.client.WithKey(seen.Key).Results(ctx, v.nodeFor(seen).callers, seen.Job.ID, from, readWait)
		if err != nil || status != http.StatusOK {
			retry.Sleep(ctx, retryGap)
			continue
		}
		v.history.takeResults(seen, from, results.Results)
		done, some := false, false
		v.history.update(func() { done, some = seen.Complete, len(seen.Positions) > 0 })
		if early && some || done {
			v.end(ctx, seen)
			return
		}
	}
}

// end ends a job at one node after the other until one has acknowledged it.
func (v *driver) end(ctx context.Context, seen *JobSeen) {
	v.history.update(func() { seen.EndAskedAt = time.Now() })
	for ctx.Err() == nil {
		status, err := v.client.WithKey(seen.Key).End(ctx, v.nodeFor(seen).callers, seen.Job.ID)
		if err == nil && status == http.StatusOK {
			v.history.update(func() { seen.EndedAt = time.Now() })
			return
		}
		retry.Sleep(ctx, retryGap)
	}
}

// readAll reads every accepted job that must still be kept from its start at
// every node.
func (v *driver) readAll(ctx context.Context) {
	for _, seen := range v.history.Jobs {
		if !seen.Accepted || time.Since(seen.SentAt) > keptTime {
			continue
		}
		for _, each := range v.deployment.nodes {
			v.history.ask(seen, each.number)
			v.readWhole(ctx, seen, each)
		}
	}
}

// readWhole reads all positions of a job at a node. It tries again after
// failures, and where another node told of a position only just now: a position
// that was read may take settleTime to be found at all nodes.
func (v *driver) readWhole(ctx context.Context, seen *JobSeen, at *node) {
	problem, status := "", 0
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < settleTime+callTimeout; retry.Sleep(ctx, retryGap) {
		results, got, err := v.client.WithKey(seen.Key).Results(ctx, at.callers, seen.Job.ID, 0, 0)
		if err != nil || got != http.StatusOK {
			problem, status = fmt.Sprintf("node %d", at.number), got
			continue
		}
		v.history.takeResults(seen, 0, results.Results)
		missing := len(seen.Positions) - len(results.Results)
		if missing == 0 {
			return
		}
		problem, status = fmt.Sprintf("node %d, %d results less", at.number, missing), got
		if time.Since(began) > settleTime {
			break
		}
	}
	seen.FinalStatus[problem] = status
}

// run sends the whole load until ctx ends. Open jobs go on until lasting ends.
func (v *driver) run(ctx, lasting context.Context) {
	v.callers.Go(func() { v.operate(ctx) })
	for _, each := range v.deployment.nodes {
		v.callers.Go(func() { v.probe(ctx, each) })
		v.callers.Go(func() { v.tryRevoked(ctx, each) })
	}
	for _, each := range v.traffic() {
		v.callers.Go(func() { v.call(ctx, each) })
		v.callers.Go(func() { v.call(ctx, each) })
	}
	if v.crashes {
		v.callers.Go(func() { v.crashEngines(ctx) })
	}
	for trainer := range trainers {
		v.jobs.Go(func() { v.train(ctx, lasting, trainer) })
	}
}
