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
	// callGap is the interval between two requests of one live caller.
	callGap      = 120 * time.Millisecond
	callDeadline = 4 * time.Second
	callTimeout  = 8 * time.Second
	// probeGap is the interval between two probes of one node, configGap that between two configurations
	// and longer than Bounds.Apply. A configuration holds the routes of the last keptProbeRoutes
	// configurations.
	probeGap        = 150 * time.Millisecond
	configGap       = 7 * time.Second
	keptProbeRoutes = 3
	// Weight versions are announced in bursts of meanBurstLength on average, at least versionGap apart;
	// bursts are at least versionPause apart.
	versionGap      = 150 * time.Millisecond
	versionPause    = 2 * time.Second
	meanBurstLength = 15
	// trainers is the number of trainers; each submits one job after the other.
	trainers    = 2
	itemsPerJob = 48
	groupSize   = 4
	readWait    = 500 * time.Millisecond
	retryGap    = 150 * time.Millisecond
	// resultSettleTime is how long a position that was read at one node may be missing at another.
	resultSettleTime = 1500 * time.Millisecond
	// jobRetention is shorter than the time for which nodes retain a job.
	jobRetention     = 80 * time.Second
	submitTries      = 8
	earlyCancelOneIn = 5
	// One in failingOneIn items always fails, one in impossibleOneIn is rejected by engines as impossible.
	failingOneIn    = 30
	impossibleOneIn = 40
)

// Prefixes of the live routes other than lookups.
const (
	prefixPermit = "/permit/"
	prefixStream = "/stream/"
)

// driver generates the load of a soak.
type driver struct {
	deployment *deployment
	history    *History
	client     *standin.Client

	// sendsCrashing is set if requests that crash engines are sent.
	sendsCrashing bool
	// placement is set for schedules of placement faults, changesHomes if configurations change the homes
	// of routes and tenants.
	placement    bool
	changesHomes bool
	// version is the newest announced weight version, config the newest configuration.
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

// configure applies the next configuration.
func (v *driver) configure() {
	version := v.config.Load() + 1
	routes := []standin.Route{
		{Name: "lookup", Prefix: standin.PrefixLookup, Kind: standin.RouteSafe, Service: standin.ServiceLookup},
		{Name: "permit", Prefix: prefixPermit, Kind: standin.RouteUnsafe, Service: standin.ServiceLookup},
		{Name: "stream", Prefix: prefixStream, Kind: standin.RouteStream, Service: standin.ServiceDrafts},
		{Name: "drafts", Prefix: standin.PrefixDrafts, Kind: standin.RouteBatch, Service: standin.ServiceDrafts},
		{Name: "scoring", Prefix: standin.PrefixScoring, Kind: standin.RouteSafe, Service: standin.ServiceLookup},
	}
	for kept := max(1, version-keptProbeRoutes+1); kept <= version; kept++ {
		routes = append(routes, standin.Route{
			Name: fmt.Sprintf("probe-%d", kept), Prefix: probePrefix(kept), Kind: standin.RouteSafe, Service: standin.ServiceLookup,
		})
	}
	configuration := standin.Configuration{Version: version, Routes: routes, Tenants: tenantsOf(version)}
	config := ConfigRecord{Version: version, SentAt: time.Now()}
	if v.placement {
		config.Homes = v.homesOf(version)
		addPinnedRequests(&configuration, config.Homes)
	}
	v.deployment.store.store.Configure(configuration)
	config.AckedAt = time.Now()
	v.history.update(func() { v.history.Configs = append(v.history.Configs, config) })
	v.config.Store(version)
}

func probePrefix(version int64) string { return fmt.Sprintf("/probe-%d/", version) }

// reconfigure applies a configuration at each configGap until ctx ends.
func (v *driver) reconfigure(ctx context.Context) {
	for retry.Sleep(ctx, configGap) {
		v.configure()
	}
}

// sendProbes requests the newest configuration's route from one node until ctx ends.
func (v *driver) sendProbes(ctx context.Context, target *node) {
	for retry.Sleep(ctx, probeGap) {
		version := v.config.Load()
		_, incarnation := target.current()
		path, sent := probePrefix(version)+"x", time.Now()
		id := v.newID("probe-")
		answer, err := v.client.WithKey(settledKey(version)).Live(ctx, target.callers, path, id, "", callDeadline)
		v.history.addCall(LiveCall{ID: id, Path: path, Kind: standin.RouteSafe, SentAt: sent, Answer: answer, Intact: err == nil})
		_, after := target.current()
		newest := v.config.Load()
		if err != nil || incarnation != after || newest >= version+keptProbeRoutes {
			continue
		}
		if answer.Status == statusUnauthorized && newest > version {
			// A newer configuration has revoked the key in the meantime.
			continue
		}
		v.history.update(func() {
			v.history.Probes = append(v.history.Probes, Probe{
				Node: target.number, Incarnation: incarnation, Version: version, SentAt: sent, EndedAt: time.Now(), Status: answer.Status,
			})
		})
	}
}

// traffic is what one live caller sends.
type traffic struct {
	kind   string
	prefix string
	// tenant is the tenant whose key is sent; empty for tenantLive.
	tenant string
	gap    time.Duration
}

// sendTraffic sends live requests of one kind until ctx ends.
func (v *driver) sendTraffic(ctx context.Context, sent traffic) {
	for retry.Sleep(ctx, sent.gap) {
		id := v.newID(sent.kind + "-")
		v.send(ctx, LiveCall{ID: id, Path: sent.prefix + id, Body: "body of " + id, Kind: sent.kind, Tenant: sent.tenant})
	}
}

// send sends a live request to a random node and records the response.
func (v *driver) send(ctx context.Context, call LiveCall) {
	call.SentAt = time.Now()
	key := settledKey(v.config.Load())
	if call.Tenant == tenantPinned {
		key = keyPinned
	}
	client := v.client.WithKey(key)
	var err error
	call.Answer, err = client.Live(ctx, v.anyNode().callers, call.Path, call.ID, call.Body, callDeadline)
	call.Intact = err == nil
	v.history.addCall(call)
}

// runTrainer submits one job after the other until ctx ends; the last job continues until jobCtx ends.
func (v *driver) runTrainer(ctx, jobCtx context.Context, trainer int) {
	for step := int64(0); ctx.Err() == nil; step++ {
		job := v.newJob(trainer, step)
		seen := v.history.addJob(job, trainer)
		if !v.submit(jobCtx, seen) {
			continue
		}
		v.readUntilDone(jobCtx, seen)
		v.announceVersion()
	}
}

func (v *driver) announceVersion() {
	v.deployment.store.store.NameVersion(standin.ModelDrafts, v.version.Add(1))
}

// announceVersions announces weight versions in bursts until ctx ends. The pauses leave a leader without
// orders for longer than the quiet time, so that the next leader may send orders at once.
func (v *driver) announceVersions(ctx context.Context) {
	for {
		gap := versionGap + rand.N(versionGap)
		if rand.IntN(meanBurstLength) == 0 {
			gap = versionPause + rand.N(versionPause)
		}
		if !retry.Sleep(ctx, gap) {
			return
		}
		v.announceVersion()
	}
}

func (v *driver) newJob(trainer int, step int64) standin.Job {
	job := standin.Job{
		ID: fmt.Sprintf("job-%d-%d", trainer, step), Step: step, MinVersion: max(1, v.version.Load()-1),
	}
	crashing := -1
	if v.sendsCrashing && rand.IntN(crashingJobOneIn) == 0 {
		crashing = rand.IntN(itemsPerJob)
	}
	for i := range itemsPerJob {
		prefix := "item-"
		switch {
		case i == crashing:
			prefix = crashPrefix
		case rand.IntN(failingOneIn) == 0:
			prefix = failPrefix
		case rand.IntN(impossibleOneIn) == 0:
			prefix = impossiblePrefix
		}
		id := v.newID(fmt.Sprintf("%s%d-%d-", prefix, trainer, step))
		job.Items = append(job.Items, standin.JobItem{
			ID: id, Group: fmt.Sprintf("group-%d-%d-%d", trainer, step, i/groupSize), Body: v.bodyOf(trainer, id),
			ScoringID: scoringIDOf(id),
		})
	}
	return job
}

// submit submits a job to one node after the other until one accepts it. It gives up after submitTries
// attempts if all of them were rejected.
func (v *driver) submit(ctx context.Context, seen *JobRecord) bool {
	refusals, tries := 0, 0
	for ; ctx.Err() == nil && (tries < submitTries || refusals < tries); tries++ {
		target := v.nodeFor(seen)
		status, err := v.client.WithKey(seen.Key).Submit(ctx, target.callers, seen.Job)
		switch {
		case err == nil && status == http.StatusAccepted:
			v.history.update(func() { seen.Accepted = true })
			return true
		case err == nil && standin.GuaranteesNotExecuted(status):
			refusals++
		}
		retry.Sleep(ctx, retryGap)
	}
	v.history.update(func() { seen.AllRejected = tries > 0 && refusals == tries })
	return false
}

// readUntilDone reads a job at one node after the other until all expected results are listed or the
// trainer cancels it early.
func (v *driver) readUntilDone(ctx context.Context, seen *JobRecord) {
	early := rand.IntN(earlyCancelOneIn) == 0
	for ctx.Err() == nil {
		from := 0
		v.history.update(func() { from = len(seen.Positions) })
		if rand.IntN(earlyCancelOneIn) == 0 {
			from = rand.IntN(from + 1) // rereads some positions
		}
		results, status, err := v.client.WithKey(seen.Key).Results(ctx, v.nodeFor(seen).callers, seen.Job.ID, from, readWait)
		if err != nil || status != http.StatusOK {
			retry.Sleep(ctx, retryGap)
			continue
		}
		v.history.recordResults(seen, from, results.Results)
		done, some := false, false
		v.history.update(func() { done, some = seen.Complete, len(seen.Positions) > 0 })
		if early && some || done {
			v.cancelJob(ctx, seen)
			return
		}
	}
}

// cancelJob cancels a job at one node after the other until one acknowledges it.
func (v *driver) cancelJob(ctx context.Context, seen *JobRecord) {
	v.history.update(func() { seen.CancelSentAt = time.Now() })
	for ctx.Err() == nil {
		status, err := v.client.WithKey(seen.Key).End(ctx, v.nodeFor(seen).callers, seen.Job.ID)
		if err == nil && status == http.StatusOK {
			v.history.update(func() { seen.EndedAt = time.Now() })
			return
		}
		retry.Sleep(ctx, retryGap)
	}
}

// readAllJobs reads every accepted job that nodes must still retain, at every node.
func (v *driver) readAllJobs(ctx context.Context) {
	for _, seen := range v.history.Jobs {
		if !seen.Accepted || time.Since(seen.SentAt) > jobRetention {
			continue
		}
		for _, each := range v.deployment.nodes {
			v.history.recordAsked(seen, each.number)
			v.readAllPositions(ctx, seen, each)
		}
	}
}

// readAllPositions reads all positions of a job at a node. It retries after failures, and while positions
// that were read elsewhere are missing for no longer than resultSettleTime.
func (v *driver) readAllPositions(ctx context.Context, seen *JobRecord, target *node) {
	problem, status := "", 0
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < resultSettleTime+callTimeout; retry.Sleep(ctx, retryGap) {
		results, got, err := v.client.WithKey(seen.Key).Results(ctx, target.callers, seen.Job.ID, 0, 0)
		if err != nil || got != http.StatusOK {
			problem, status = fmt.Sprintf("node %d", target.number), got
			continue
		}
		v.history.recordResults(seen, 0, results.Results)
		missing := len(seen.Positions) - len(results.Results)
		if missing == 0 {
			return
		}
		problem, status = fmt.Sprintf("node %d, %d results missing", target.number, missing), got
		if time.Since(began) > resultSettleTime {
			break
		}
	}
	seen.FinalStatus[problem] = status
}

// run generates the load until ctx ends. Open jobs continue until jobCtx ends.
func (v *driver) run(ctx, jobCtx context.Context) {
	v.callers.Go(func() { v.reconfigure(ctx) })
	for _, each := range v.deployment.nodes {
		v.callers.Go(func() { v.sendProbes(ctx, each) })
		v.callers.Go(func() { v.sendRevokedKeys(ctx, each) })
	}
	for _, each := range v.traffic() {
		v.callers.Go(func() { v.sendTraffic(ctx, each) })
		v.callers.Go(func() { v.sendTraffic(ctx, each) })
	}
	if v.sendsCrashing {
		v.callers.Go(func() { v.crashEngines(ctx) })
	}
	for trainer := range trainers {
		v.jobs.Go(func() { v.runTrainer(ctx, jobCtx, trainer) })
	}
}
