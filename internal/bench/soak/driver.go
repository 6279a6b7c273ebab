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
	// and longer than Bounds.Apply. A configuration holds the probe routes of the last keptProbeRoutes
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
	// placementFaults is set for schedules of placement faults, changesHomes if configurations change the home
	// regions of routes and tenants.
	placementFaults bool
	changesHomes    bool
	// contention is set for contention schedules, whose load is drawn from seed.
	contention bool
	// overlap is set for schedules of overlapping faults: streams may be resumed, and items are bound to one version.
	overlap  bool
	seed     uint64
	trainers int
	// modelStep is the newest step of the model, which the trainers of contention schedules share.
	modelStep atomic.Int64
	// version is the newest announced weight version, config the version of the newest configuration.
	version atomic.Int64
	config  atomic.Int64
	ids     atomic.Int64

	callers sync.WaitGroup
	jobs    sync.WaitGroup
}

func newDriver(d *deployment) *driver {
	driver := &driver{
		deployment: d, history: d.history, client: standin.NewClient(callTimeout), trainers: trainers,
	}
	driver.version.Store(1)
	return driver
}

func (d *driver) randomNode() *node { return d.deployment.nodes[rand.IntN(len(d.deployment.nodes))] }

func (d *driver) newID(prefix string) string {
	return fmt.Sprintf("%s%d", prefix, d.ids.Add(1))
}

// configure applies the next configuration.
func (d *driver) configure() {
	version := d.config.Load() + 1
	routes := []standin.Route{
		{Name: "lookup", Prefix: standin.PrefixLookup, Kind: standin.RouteSafe, Service: standin.ServiceLookup},
		{Name: "permit", Prefix: prefixPermit, Kind: standin.RouteUnsafe, Service: standin.ServiceLookup},
		{Name: "stream", Prefix: prefixStream, Kind: standin.RouteStream, Service: standin.ServiceDrafts, Resumable: d.overlap},
		{Name: "drafts", Prefix: standin.PrefixDrafts, Kind: standin.RouteBatch, Service: standin.ServiceDrafts, SingleVersion: d.overlap},
		{Name: "scoring", Prefix: standin.PrefixScoring, Kind: standin.RouteSafe, Service: standin.ServiceLookup},
	}
	for kept := max(1, version-keptProbeRoutes+1); kept <= version; kept++ {
		routes = append(routes, standin.Route{
			Name: fmt.Sprintf("probe-%d", kept), Prefix: probePrefix(kept), Kind: standin.RouteSafe, Service: standin.ServiceLookup,
		})
	}
	configuration := standin.Configuration{Version: version, Routes: routes, Tenants: tenantsOf(version, d.trainers)}
	if d.contention {
		addBurstTenants(&configuration)
	}
	config := ConfigRecord{Version: version, SentAt: time.Now()}
	if d.placementFaults {
		config.Homes = d.homesOf(version)
		addPinnedRequests(&configuration, config.Homes)
	}
	d.deployment.store.store.Configure(configuration)
	config.AckedAt = time.Now()
	d.history.update(func() { d.history.Configs = append(d.history.Configs, config) })
	d.config.Store(version)
}

func probePrefix(version int64) string { return fmt.Sprintf("/probe-%d/", version) }

// reconfigure applies a configuration at each configGap until ctx ends.
func (d *driver) reconfigure(ctx context.Context) {
	for retry.Sleep(ctx, configGap) {
		d.configure()
	}
}

// sendProbes requests the newest configuration's route from one node until ctx ends.
func (d *driver) sendProbes(ctx context.Context, target *node) {
	for retry.Sleep(ctx, d.probeGap()) {
		version := d.config.Load()
		_, incarnation := target.current()
		path, sent := probePrefix(version)+"x", time.Now()
		id := d.newID("probe-")
		answer, err := d.client.WithKey(settledKey(version)).SendLive(ctx, target.callerAddress, path, id, "", callDeadline)
		d.history.addCall(LiveCall{
			ID: id, Path: path, Kind: standin.RouteSafe, SentAt: sent, Deadline: callDeadline, EndedAt: time.Now(), Answer: answer, Intact: err == nil,
		})
		_, after := target.current()
		newest := d.config.Load()
		if err != nil || incarnation != after || newest >= version+keptProbeRoutes {
			continue
		}
		if answer.Status == statusUnauthorized && newest > version {
			// A newer configuration has revoked the key in the meantime.
			continue
		}
		d.history.update(func() {
			d.history.Probes = append(d.history.Probes, Probe{
				Node: target.number, Incarnation: incarnation, Version: version, SentAt: sent, EndedAt: time.Now(), Status: answer.Status,
			})
		})
	}
}

// runTrainer submits one job after the other until ctx ends; the last job may continue until jobCtx ends.
func (d *driver) runTrainer(ctx, jobCtx context.Context, trainer int) {
	for step := int64(0); ctx.Err() == nil; step++ {
		job := d.newJob(trainer, step)
		record := d.history.addJob(job, trainer)
		record.SingleVersion = d.overlap
		if !d.submit(jobCtx, record) {
			continue
		}
		d.readUntilDone(jobCtx, record)
		if !d.contention || trainer == versionTrainer {
			d.announceVersion()
		}
	}
}

func (d *driver) announceVersion() {
	d.deployment.store.store.PublishVersion(standin.ModelDrafts, d.version.Add(1))
}

// announceVersions announces weight versions in bursts until ctx ends. In the pauses, no order is sent for
// longer than the quiet period between orders of two leaders, so that a new leader may send orders at once.
func (d *driver) announceVersions(ctx context.Context) {
	for {
		gap := versionGap + rand.N(versionGap)
		if rand.IntN(meanBurstLength) == 0 {
			gap = versionPause + rand.N(versionPause)
		}
		if !retry.Sleep(ctx, gap) {
			return
		}
		d.announceVersion()
	}
}

func (d *driver) newJob(trainer int, step int64) standin.Job {
	if d.contention {
		return d.newContentionJob(trainer, step)
	}
	job := standin.Job{
		ID: fmt.Sprintf("job-%d-%d", trainer, step), Step: step, MinVersion: max(1, d.version.Load()-1),
	}
	interrupted := -1
	if d.sendsCrashing && rand.IntN(interruptedJobOneIn) == 0 {
		interrupted = rand.IntN(itemsPerJob)
	}
	for i := range itemsPerJob {
		prefix := "item-"
		switch {
		case i == interrupted:
			prefix = interruptedPrefix
		case rand.IntN(failingOneIn) == 0:
			prefix = failPrefix
		case rand.IntN(impossibleOneIn) == 0:
			prefix = impossiblePrefix
		case d.overlap && rand.IntN(overlapLongOneIn) == 0:
			prefix = longItemPrefix
		}
		id := d.newID(fmt.Sprintf("%s%d-%d-", prefix, trainer, step))
		job.Items = append(job.Items, standin.JobItem{
			ID: id, Group: fmt.Sprintf("group-%d-%d-%d", trainer, step, i/groupSize), Body: d.bodyOf(trainer, id),
			ScoringID: scoringIDOf(id),
		})
	}
	return job
}

// submit submits a job to one node after the other until one accepts it. It gives up after submitTries
// attempts if all of them were rejected.
func (d *driver) submit(ctx context.Context, record *JobRecord) bool {
	refusals, tries := 0, 0
	for ; ctx.Err() == nil && (tries < submitTries || refusals < tries); tries++ {
		target := d.nodeFor(record)
		answer, err := d.client.WithKey(record.Key).Submit(ctx, target.callerAddress, record.Job)
		if err == nil && isRefusal(answer.Status) {
			d.history.update(func() { record.Refusals = append(record.Refusals, answer) })
		}
		switch {
		case err == nil && answer.Status == http.StatusAccepted:
			d.history.update(func() { record.Accepted = true })
			return true
		case err == nil && standin.GuaranteesNotExecuted(answer.Status):
			refusals++
		}
		retry.Sleep(ctx, retryGap)
	}
	d.history.update(func() { record.AllRejected = tries > 0 && refusals == tries })
	return false
}

// readUntilDone reads a job at one node after the other until all expected results are listed or the
// trainer cancels it early.
func (d *driver) readUntilDone(ctx context.Context, record *JobRecord) {
	cancelsEarly := rand.IntN(earlyCancelOneIn) == 0
	for ctx.Err() == nil {
		from := 0
		d.history.update(func() { from = len(record.Positions) })
		if rand.IntN(earlyCancelOneIn) == 0 {
			from = rand.IntN(from + 1) // rereads some positions
		}
		results, status, err := d.client.WithKey(record.Key).Results(ctx, d.nodeFor(record).callerAddress, record.Job.ID, from, readWait)
		if err != nil || status != http.StatusOK {
			retry.Sleep(ctx, retryGap)
			continue
		}
		d.history.recordResults(record, from, results.Results)
		complete, hasResults := false, false
		d.history.update(func() { complete, hasResults = record.Complete, len(record.Positions) > 0 })
		if cancelsEarly && hasResults || complete {
			d.cancelJob(ctx, record)
			return
		}
	}
}

// cancelJob cancels a job at one node after the other until one acknowledges it.
func (d *driver) cancelJob(ctx context.Context, record *JobRecord) {
	d.history.update(func() { record.CancelSentAt = time.Now() })
	for ctx.Err() == nil {
		status, err := d.client.WithKey(record.Key).EndJob(ctx, d.nodeFor(record).callerAddress, record.Job.ID)
		if err == nil && status == http.StatusOK {
			d.history.update(func() { record.EndedAt = time.Now() })
			return
		}
		retry.Sleep(ctx, retryGap)
	}
}

// readAllJobs reads every accepted job that nodes must still retain, at every node.
func (d *driver) readAllJobs(ctx context.Context) {
	for _, record := range d.history.Jobs {
		if !record.Accepted || time.Since(record.SentAt) > jobRetention {
			continue
		}
		for _, each := range d.deployment.nodes {
			d.history.recordJobRequest(record, each.number)
			d.readAllPositions(ctx, record, each)
		}
	}
}

// readAllPositions reads all positions of a job at a node. It retries after failures, and while positions
// that were read elsewhere are missing for no longer than resultSettleTime.
func (d *driver) readAllPositions(ctx context.Context, record *JobRecord, target *node) {
	problem, status := "", 0
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < resultSettleTime+callTimeout; retry.Sleep(ctx, retryGap) {
		results, got, err := d.client.WithKey(record.Key).Results(ctx, target.callerAddress, record.Job.ID, 0, 0)
		if err != nil || got != http.StatusOK {
			problem, status = fmt.Sprintf("node %d", target.number), got
			continue
		}
		d.history.recordResults(record, 0, results.Results)
		missing := len(record.Positions) - len(results.Results)
		if missing == 0 {
			return
		}
		problem, status = fmt.Sprintf("node %d, %d results missing", target.number, missing), got
		if time.Since(began) > resultSettleTime {
			break
		}
	}
	record.FailedReads[problem] = status
}

// run generates the load until ctx ends, part of which the schedule may hold. Open jobs continue until jobCtx ends.
func (d *driver) run(ctx, jobCtx context.Context, faults []Fault) {
	if d.contention || d.overlap {
		d.callers.Go(func() { d.playEvents(ctx, faults) })
	} else {
		d.callers.Go(func() { d.reconfigure(ctx) })
	}
	for _, each := range d.deployment.nodes {
		d.callers.Go(func() { d.sendProbes(ctx, each) })
		d.callers.Go(func() { d.sendRevokedKeys(ctx, each) })
	}
	for _, each := range d.traffic() {
		d.callers.Go(func() { d.sendTraffic(ctx, each) })
		d.callers.Go(func() { d.sendTraffic(ctx, each) })
	}
	if d.overlap {
		d.startKeepingCallers(ctx)
	}
	if d.sendsCrashing {
		d.callers.Go(func() { d.crashEngines(ctx) })
	}
	for trainer := range d.trainers {
		d.jobs.Go(func() { d.runTrainer(ctx, jobCtx, trainer) })
	}
}
