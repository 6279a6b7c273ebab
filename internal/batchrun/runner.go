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
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

const (
	// tickPeriod is the longest time between two looks at the plan.
	tickPeriod = 50 * time.Millisecond
	// refusedPause holds an engine back after it did not run an item: it is full or
	// changes its weights, and would refuse the next one as well.
	refusedPause = 250 * time.Millisecond
	// retryDelay holds an item back after an engine did not run it.
	retryDelay = 60 * time.Millisecond
	// assignShare, scoreShare and moveShare are the most of its time that the runner
	// spends on looking for engines, for scoring calls to make and for items to move.
	assignShare = 0.25
	scoreShare  = 0.1
	moveShare   = 0.05
	// loadDelay is the wait between two tries to read a job's payloads.
	loadDelay = 100 * time.Millisecond
	// restoreWait is the longest time from the start of a term for which no item starts
	// while interrupted ones are being read: those go first. A read of all of them takes
	// 0.1 to 0.2 s.
	restoreWait = 400 * time.Millisecond
)

// Options are the parts that a runner works with.
type Options struct {
	Jobs    Jobs
	Engines Engines
	Fleet   *fleet.Fleet
	Scorer  Scorer
	Guard   Guard
	// Gate is asked before calls leave; nil for one that asks Fleet.
	Gate *sendgate.Gate
	// ColdStarts is asked for the engines of services that have a slow start only.
	ColdStarts ColdStarts
	RouteOf    RouteOf
	// Within are the home regions of the jobs that this runner runs: just those that are bound to them,
	// or, where it bounds nothing, those that are bound to none. HomesOf tells those of a job by the
	// configuration in force, whose version is Config.
	Within  homes.Set
	HomesOf func(job *batch.JobRecord) homes.Set
	Config  func() int64
	// Loading tells which model's weights an engine is changing, empty for none; AllLoading tells it of all
	// engines that change some.
	Loading    func(engine incarnation.ID) string
	AllLoading func() map[incarnation.ID]string
	// Term names this term of leading among all terms.
	Term   string
	Logger zerolog.Logger
}

// Runner runs items while it leads.
type Runner struct {
	options  Options
	recorder *recorder
	wake     chan struct{}

	mu   sync.Mutex
	ctx  context.Context
	plan *batchplan.Plan
	jobs map[string]*openJob
	// others are the open jobs that other runners run; scopedBy is the version of the configuration
	// by which that was decided.
	others   map[string]*otherJob
	scopedBy int64
	runs     map[batchplan.Key]*run
	// restoring counts the jobs whose kept outputs are being read; began is the start
	// of the term.
	restoring int
	began     time.Time
	// scoring holds the items whose output is whole and whose score is not there.
	scoring *scoringQueue
	// pausedUntil holds until when engines that refused an item get none.
	pausedUntil map[incarnation.ID]time.Time
	// crowded tells of engines that lost a connection whether they had been given more than their memory holds.
	crowded map[incarnation.ID]crowding
	// crowdedEnds counts the engines that ended under an item because they were crowded.
	crowdedEnds map[batchplan.Key]int
	// starts is how many starts of engines were listed when the runs were looked through last.
	starts int64
	// tickedAt is when the runner last looked round.
	tickedAt time.Time
	// quarantined holds until when items are kept away from engines, because engines ended
	// under them.
	quarantined map[batchplan.Key]time.Time
	// evacuatedToldAt is when it was last told that items wait for evacuated zones.
	evacuatedToldAt time.Time
	// chains counts the chains of this term.
	chains int
	// carriedOver holds output left by ended jobs, by item ID qualified by its tenant.
	carriedOver map[string]carried
	// wait counts the goroutines of runs and loads.
	wait sync.WaitGroup
}

// openJob is a job whose items are being run.
type openJob struct {
	record   batch.JobRecord
	payloads []batch.Payload
	items    []batchitem.Item
	addedAt  time.Time
	// single is true when a result may bear one weight version only.
	single bool
	// kept holds the progress that other leaders left in the log.
	kept map[int]batch.Progress
	// stopLoading ends the reading of what the engines are sent.
	stopLoading context.CancelFunc
	// left counts the items without a recorded result.
	left int
	// tokens is the size of all items.
	tokens int
}

// limits are the weight versions that may make the job's items.
func (j *openJob) limits() batchitem.Limits {
	return batchitem.Limits{MinVersion: j.record.MinVersion, Single: j.single}
}

// New returns a runner for one term of leading.
func New(options Options) *Runner {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	r := &Runner{
		options: options,
		wake:    make(chan struct{}, 1),
		plan:    batchplan.New(),
		jobs:    make(map[string]*openJob),
		others:  make(map[string]*otherJob),
		runs:    make(map[batchplan.Key]*run),
		scoring: newScoringQueue(),

		pausedUntil: make(map[incarnation.ID]time.Time),
		crowded:     make(map[incarnation.ID]crowding),
		crowdedEnds: make(map[batchplan.Key]int),
		quarantined: make(map[batchplan.Key]time.Time),
		carriedOver: make(map[string]carried),
	}
	r.recorder = newRecorder(options.Jobs, options.Logger)
	return r
}

// Run runs items until ctx ends. What it reads and writes of their bodies and texts goes by way of no
// node outside of their homes.
func (r *Runner) Run(ctx context.Context) {
	ctx = homes.NewContext(ctx, r.options.Within)
	r.mu.Lock()
	r.ctx, r.began = ctx, time.Now()
	r.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		r.recorder.run(ctx)
		return nil
	})
	group.Go(func() error {
		r.keepLoop(ctx)
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
			r.tick(now)
			r.stopAtEnded()
			r.rescope()
			r.giveUpOld()
			r.giveUpOthers(now)
			r.queueReleased(now)
			rounds(moving, r.moveStragglers)
		}
		rounds(scoring, r.startScoring)
		rounds(assigning, r.assign)
		retry.Sleep(ctx, assigning.Wait(time.Now()))
	}
	r.options.Jobs.Unobserve(r)
	r.wait.Wait()
	_ = group.Wait()
}

// rounds does a round of repeated work if one is due.
func rounds(cycle *dutycycle.Cycle, work func()) {
	began := time.Now()
	if !cycle.Due(began) {
		return
	}
	work()
	cycle.Ended(began, time.Now())
}

func (r *Runner) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickedAt = now
}

// Wake makes the runner look at the plan now.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// complete hands an item's output and score to the recorder; mu is held.
func (r *Runner) complete(job *openJob, index int, score, reason string) {
	item := &job.items[index]
	if item.Ended() {
		return
	}
	text := item.Complete()
	r.plan.ObserveLength(job.record.Items[index].Length, item.Output.Last())
	r.record(job, reason, batchjobs.FinishedItem{
		JobID: job.record.ID, Homes: job.record.Homes, Item: index, Outcome: batch.Completed,
		Text: text, Versions: item.Output.Versions(), Score: score,
	})
}

// expire gives an item up; mu is held.
func (r *Runner) expire(job *openJob, index int, reason string) {
	item := &job.items[index]
	if item.Ended() {
		return
	}
	r.stopWork(batchplan.Key{Job: job.record.ID, Item: index})
	item.Drop()
	r.record(job, reason, batchjobs.FinishedItem{JobID: job.record.ID, Item: index, Outcome: batch.Expired})
}

// record hands the end of an item to the recorder; mu is held.
func (r *Runner) record(job *openJob, reason string, finished batchjobs.FinishedItem) {
	key := batchplan.Key{Job: job.record.ID, Item: finished.Item}
	r.plan.Remove(key)
	delete(r.quarantined, key)
	delete(r.crowdedEnds, key)
	item := &job.items[finished.Item]
	r.options.Logger.Info().Str("job", job.record.ID).Str("item", job.record.Items[finished.Item].ID).
		Int("index", finished.Item).Bool("completed", finished.Outcome == batch.Completed).Str("reason", reason).
		Ints64("versions", finished.Versions).Int64("events", item.Output.Last()).Str("score", finished.Score).
		Dur("after_ms", time.Since(job.addedAt)).Msg("item finished")
	r.recorder.add(finished)
}

// stopWork ends the run or the scoring call of an item; mu is held.
func (r *Runner) stopWork(key batchplan.Key) {
	if running, found := r.runs[key]; found {
		running.stop(stopDropped)
	}
	r.scoring.cancel(key)
}

// assign starts what the plan assigns.
func (r *Runner) assign() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan.Waiting() == 0 || r.ctx.Err() != nil || !r.options.Gate.Known() {
		return
	}
	if r.restoring > 0 && now.Sub(r.began) < restoreWait {
		return
	}
	views := r.engineViews(now)
	r.tellEvacuated(now, views)
	for _, assignment := range r.plan.Assign(now, views) {
		r.start(assignment)
	}
	if r.plan.Waiting() > 0 {
		r.wantColdStarts(views)
	}
}

// giveUpOld ends items whose time is over or whose route is gone.
func (r *Runner) giveUpOld() {
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
			r.expire(job, i, "time over or route gone")
		}
	}
}
