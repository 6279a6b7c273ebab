package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/dutycycle"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/joborder"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

const (
	// tickPeriod is the maximum time between two scheduling rounds.
	tickPeriod = 50 * time.Millisecond
	// refusalPause is how long an engine gets no items after it refused one: it is full or loading weights and
	// would refuse the next one too.
	refusalPause = 250 * time.Millisecond
	// retryDelay is the wait before an item is retried after an engine did not run it.
	retryDelay = 60 * time.Millisecond
	// assignShare, scoreShare and moveShare are the maximum shares of the runner's time spent on assigning items,
	// starting scoring calls and moving items.
	assignShare = 0.25
	scoreShare  = 0.1
	moveShare   = 0.05
	// loadRetryDelay is the wait between two attempts to read a job's payloads.
	loadRetryDelay = 100 * time.Millisecond
	// minOutputLimit bounds the output of an item, or outputBytesPerToken its part of it for each token if that is more.
	// eventSlack is the number of its events beyond twice its tokens.
	minOutputLimit      = 1 << 20
	outputBytesPerToken = 64
	eventSlack          = 16
	// restoreWait bounds how long after the start of a term no item is started while saved progress is being read,
	// since interrupted items take precedence. Reading all of it takes 0.1 to 0.2 s.
	restoreWait = 400 * time.Millisecond
)

// Options are the dependencies of a runner.
type Options struct {
	Jobs    Jobs
	Engines Engines
	Fleet   *fleet.Fleet
	Scorer  Scorer
	Crashes CrashObserver
	// Gate is checked before calls are sent; nil for one that checks Fleet only.
	Gate *sendgate.Gate
	// ColdStarts is used only for engines of services with a slow start.
	ColdStarts ColdStarts
	RouteOf    RouteOf
	// EngineTokensOf returns the memory of one engine of a service in tokens; zero when unknown.
	EngineTokensOf func(service string) int
	// Seed determines where the split of items among the services of a route starts; see routes.NewSplitter.
	Seed uint64
	// DueOrder makes jobs start by due times while items outnumber free slots, see joborder. OnJobDecision, if set, is
	// called for each decision of that order.
	DueOrder      bool
	OnJobDecision func(kind joborder.Kind)
	// Homes are the home regions whose jobs this runner runs: jobs bound to exactly these regions or, if it is
	// unbound, jobs bound to none. HomesOf returns the homes of a job in the current configuration, whose version
	// is ConfigVersion.
	Homes         homes.Set
	HomesOf       func(job *batch.JobRecord) homes.Set
	ConfigVersion func() int64
	// LoadingModel returns the model whose weights an engine is loading, empty for none; LoadingModels returns it for
	// all engines that are loading.
	LoadingModel  func(engine incarnation.ID) string
	LoadingModels func() map[incarnation.ID]string
	// MixedEngines divides the engines of each service into fast ones and others by their observed pace, keeps the fast
	// ones for long items, and moves items to them.
	MixedEngines bool
	// OnOutputDropped, if set, is called each time that the output of an item is dropped. It is called with a lock held and
	// must not call the runner.
	OnOutputDropped func(reason DropReason)
	// OnMove, if set, is called for each item that is stopped to be moved, and OnFastEngines when the fast engines of a
	// service change. Both are called with a lock held and must not call the runner.
	OnMove        func(reason MoveReason)
	OnFastEngines func(service string, fast int)
	// OnWaits, if set, is called each second with the items that wait for an engine, by reason. It is called with a lock
	// held and must not call the runner.
	OnWaits func(waits map[batchplan.WaitReason]batchplan.WaitCount)
	// Term identifies this leadership term among all terms.
	Term   string
	Logger zerolog.Logger
}

// Runner runs items during one leadership term.
type Runner struct {
	options  Options
	recorder *recorder
	splitter *routes.Splitter
	wake     chan struct{}

	mu   sync.Mutex
	ctx  context.Context
	plan *batchplan.Plan
	jobs map[string]*openJob
	// otherJobs are the open jobs of other runners; homesVersion is the configuration version by which jobs were
	// last divided among the runners.
	otherJobs map[string]*otherJob
	// itemPeaks holds, by model, the highest number of items without a result since the last call of
	// Demands. It is set when a job is added: the number only falls in between.
	itemPeaks    map[string]int
	homesVersion int64
	// routesVersion is the configuration version by which the waiting items were queued.
	routesVersion int64
	runs          map[batchplan.Key]*run
	// pendingRestores is the number of jobs whose saved output is being read; startedAt is the start of the term.
	pendingRestores int
	startedAt       time.Time
	// scoring holds the items whose output is complete but not scored yet.
	scoring *scoringQueue
	// pausedUntil holds, by engine, the end of the pause after it refused an item.
	pausedUntil map[incarnation.ID]time.Time
	// overcommitChecks holds, for engines that lost a connection, whether they had been assigned more than their
	// memory holds.
	overcommitChecks map[incarnation.ID]overcommitCheck
	// incarnationsListed is the value of Fleet.IncarnationsListed when the runs were last checked for restarts.
	incarnationsListed int64
	lastTickAt         time.Time
	evacuationLoggedAt time.Time
	waitsReportedAt    time.Time
	chainCount         int
	// carriedOver holds the output of ended jobs by the item's ID qualified by its tenant.
	carriedOver map[string]carriedOutput
	// wait counts the goroutines of runs, scoring calls and loads.
	wait sync.WaitGroup
}

// openJob is a job whose items are being run.
type openJob struct {
	record   batch.JobRecord
	payloads []batch.Payload
	items    []batchitem.Item
	addedAt  time.Time
	// singleVersion reports whether a result may come from one weight version only.
	singleVersion bool
	// split is how its items are divided among the services of its route.
	split jobSplit
	// savedProgress holds the progress in the log when the job was added, by item.
	savedProgress map[int]batch.Progress
	cancelLoad    context.CancelFunc
	// remaining is the number of items without a recorded result.
	remaining int
	// tokens is the total size of all items.
	tokens int
}

// limits returns the weight versions that may produce the job's output.
func (j *openJob) limits() batchitem.Limits {
	return batchitem.Limits{MinVersion: j.record.MinVersion, SingleVersion: j.singleVersion}
}

// limitsOf returns the limits of an item's output. An event holds at least one token; eventSlack covers events that hold
// none.
func (j *openJob) limitsOf(index int) batchitem.Limits {
	limits := j.limits()
	limits.MaxBytes = minOutputLimit
	if record := j.record.Items[index]; record.Prompt > 0 && record.Tokens > record.Prompt {
		tokens := record.Tokens - record.Prompt
		limits.MaxEvents = int64(2*tokens + eventSlack)
		limits.MaxBytes = max(limits.MaxBytes, outputBytesPerToken*tokens)
	}
	return limits
}

// New returns a runner for one leadership term.
func New(options Options) *Runner {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	r := &Runner{
		options:   options,
		splitter:  routes.NewSplitter(options.Seed),
		wake:      make(chan struct{}, 1),
		plan:      batchplan.New(),
		jobs:      make(map[string]*openJob),
		otherJobs: make(map[string]*otherJob),
		itemPeaks: make(map[string]int),
		runs:      make(map[batchplan.Key]*run),
		scoring:   newScoringQueue(),

		pausedUntil:      make(map[incarnation.ID]time.Time),
		overcommitChecks: make(map[incarnation.ID]overcommitCheck),
		carriedOver:      make(map[string]carriedOutput),
	}
	if options.DueOrder {
		r.plan.OrderByDue()
	}
	r.recorder = newRecorder(options.Jobs, options.Logger)
	return r
}

// Run runs items until ctx ends. Reads and writes of payloads and outputs go only through nodes within the
// runner's home regions.
func (r *Runner) Run(ctx context.Context) {
	ctx = homes.NewContext(ctx, r.options.Homes)
	r.mu.Lock()
	r.ctx, r.startedAt = ctx, time.Now()
	r.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		r.recorder.run(ctx)
		return nil
	})
	group.Go(func() error {
		r.saveLoop(ctx)
		return nil
	})
	r.options.Jobs.Observe(r)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	assigning := dutycycle.New(0, assignShare)
	scoring := dutycycle.New(0, scoreShare)
	moving := dutycycle.New(tickPeriod, moveShare)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.wake:
		case now := <-ticker.C:
			r.recordTick(now)
			r.stopRunsOnRestartedEngines()
			r.classifyEngines(now)
			r.applyHomes()
			r.expireOverdue()
			r.expireOverdueOthers(now)
			r.reportWaits(now)
			runIfDue(moving, r.moveStragglers)
		}
		runIfDue(scoring, r.startScoring)
		runIfDue(assigning, r.assign)
		retry.Sleep(ctx, assigning.Wait(time.Now()))
	}
	r.options.Jobs.Unobserve(r)
	r.wait.Wait()
	_ = group.Wait()
}

// runIfDue does one round of periodic work if the duty cycle allows it.
func runIfDue(cycle *dutycycle.Cycle, work func()) {
	began := time.Now()
	if !cycle.Due(began) {
		return
	}
	work()
	cycle.Ended(began, time.Now())
}

func (r *Runner) recordTick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTickAt = now
}

// Wake triggers a scheduling round.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// call returns the call that runs an item from its start.
func (j *openJob) call(index int) Call {
	return Call{
		ItemID: j.record.Items[index].ID, Tenant: j.record.Tenant, Host: j.record.Host, Payload: j.payloads[index],
	}
}

// complete passes an item's output and score to the recorder. Must be called with mu held.
func (r *Runner) complete(job *openJob, index int, score, reason string) {
	item := &job.items[index]
	if item.Ended() {
		return
	}
	text := item.Complete()
	r.plan.ObserveLength(job.record.Items[index].Length, item.Output.Last())
	r.record(job, reason, batchjobs.ItemResult{
		JobID: job.record.ID, Homes: job.record.Homes, Item: index, Outcome: batch.Completed,
		Text: text, Versions: item.Output.Versions(), Score: score,
	})
}

// expire ends an item without a result. Must be called with mu held.
func (r *Runner) expire(job *openJob, index int, reason string) {
	item := &job.items[index]
	if item.Ended() {
		return
	}
	r.stopWork(batchplan.Key{Job: job.record.ID, Item: index})
	item.Drop()
	r.record(job, reason, batchjobs.ItemResult{JobID: job.record.ID, Item: index, Outcome: batch.Expired})
}

// record removes an ended item from the plan and passes it to the recorder. Must be called with mu held.
func (r *Runner) record(job *openJob, reason string, finished batchjobs.ItemResult) {
	key := batchplan.Key{Job: job.record.ID, Item: finished.Item}
	r.plan.Remove(key)
	item := &job.items[finished.Item]
	r.options.Logger.Info().Str("job", job.record.ID).Str("item", job.record.Items[finished.Item].ID).
		Int("index", finished.Item).Bool("completed", finished.Outcome == batch.Completed).Str("reason", reason).
		Ints64("versions", finished.Versions).Int64("events", item.Output.Last()).Str("score", finished.Score).
		Dur("after_ms", time.Since(job.addedAt)).Msg("item finished")
	r.recorder.add(finished)
}

// stopWork cancels the run or the scoring call of an item. Must be called with mu held.
func (r *Runner) stopWork(key batchplan.Key) {
	if running, found := r.runs[key]; found {
		running.stop(stopDropped)
	}
	r.scoring.cancel(key)
}

// assign starts the items that the plan assigns to engines.
func (r *Runner) assign() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshJobOrder(now)
	r.applyRoutes()
	if r.plan.Waiting() == 0 || r.ctx.Err() != nil {
		return
	}
	if !r.options.Gate.EnginesKnown() || r.pendingRestores > 0 && now.Sub(r.startedAt) < restoreWait {
		r.plan.SetWaitReason(now, batchplan.StateUnknown)
		return
	}
	views := r.engineViews(now)
	r.logEvacuationWait(now, views)
	for _, assignment := range r.plan.Assign(now, views) {
		r.start(assignment)
	}
	if r.plan.Waiting() > 0 {
		r.prefetchPermits(views)
	}
}

// expireOverdue expires the items of jobs whose retention has passed or whose route is gone.
func (r *Runner) expireOverdue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		if job.payloads == nil {
			continue
		}
		route, found := r.options.RouteOf(job.record.Host, job.record.Path)
		if found && (route.Retention <= 0 || time.Since(job.addedAt) < route.Retention) {
			continue
		}
		for i := range job.items {
			r.expire(job, i, "retention expired or route removed")
		}
	}
}
