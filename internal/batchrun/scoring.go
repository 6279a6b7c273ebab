package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

// scoringBackoff sets the delays between attempts at a scoring call.
var scoringBackoff = retry.Policy{First: 50 * time.Millisecond, Longest: time.Second}

// scoringItem is an item whose output is complete but not scored yet.
type scoringItem struct {
	key    batchplan.Key
	tenant string
	call   batch.ScoringCall
	// jobAddedAt is when its job was added, since is when its output was complete.
	jobAddedAt time.Time
	since      time.Time
	// notBefore delays the next attempt after a failure.
	notBefore time.Time
	backoff   *retry.Delays
	tries     int
	// service is the service of the call in progress.
	service string
	// cancel cancels the call in progress; nil when there is none.
	cancel context.CancelFunc
}

// scoringQueue holds the items waiting for their score. It is guarded by the runner's mu.
type scoringQueue struct {
	items map[batchplan.Key]*scoringItem
	// windows limit the concurrent calls per service.
	windows map[string]*admission.Window
}

func newScoringQueue() *scoringQueue {
	return &scoringQueue{
		items:   make(map[batchplan.Key]*scoringItem),
		windows: make(map[string]*admission.Window),
	}
}

func (q *scoringQueue) window(service string) *admission.Window {
	window, found := q.windows[service]
	if !found {
		window = admission.NewWindow()
		q.windows[service] = window
	}
	return window
}

// cancel removes an item and cancels its call, if it is queued.
func (q *scoringQueue) cancel(key batchplan.Key) {
	item, found := q.items[key]
	if !found {
		return
	}
	delete(q.items, key)
	if item.cancel != nil {
		item.cancel()
	}
}

// since returns the time at which an item started to wait for its score.
func (q *scoringQueue) since(key batchplan.Key) (time.Time, bool) {
	item, found := q.items[key]
	if !found {
		return time.Time{}, false
	}
	return item.since, true
}

// due returns the items whose call may start, ordered by the age of their job, then by how long they have been
// waiting.
func (q *scoringQueue) due(now time.Time) []*scoringItem {
	var due []*scoringItem
	for _, item := range q.items {
		if item.cancel == nil && !item.notBefore.After(now) {
			due = append(due, item)
		}
	}
	slices.SortFunc(due, func(a, b *scoringItem) int {
		if order := a.jobAddedAt.Compare(b.jobAddedAt); order != 0 {
			return order
		}
		return a.since.Compare(b.since)
	})
	return due
}

// outputComplete handles an item whose output is complete: it is queued for scoring if it has a scoring call, and
// recorded otherwise. Must be called with mu held.
func (r *Runner) outputComplete(job *openJob, index int, reason string) {
	item := &job.items[index]
	call := job.payloads[index].Scoring
	if call == nil {
		r.complete(job, index, "", reason)
		return
	}
	key := batchplan.Key{Job: job.record.ID, Item: index}
	item.StartScoring()
	r.plan.Remove(key)
	r.scoring.items[key] = &scoringItem{
		key: key, tenant: job.record.Tenant, call: *call,
		jobAddedAt: job.addedAt, since: time.Now(), backoff: scoringBackoff.Delays(),
	}
	r.Wake()
}

// startScoring starts as many scoring calls as the services have capacity for.
func (r *Runner) startScoring() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.scoring.items) == 0 || r.ctx.Err() != nil {
		return
	}
	full := make(map[string]bool)
	for _, item := range r.scoring.due(time.Now()) {
		service, capacity := r.options.Scorer.Capacity(item.call)
		if full[service] {
			continue
		}
		if !r.scoring.window(service).Admits(capacity) {
			full[service] = true
			continue
		}
		item.service = service
		r.score(item)
	}
}

// score starts the scoring call of an item. Must be called with mu held.
func (r *Runner) score(item *scoringItem) {
	ctx, cancel := context.WithCancel(r.ctx)
	item.cancel = cancel
	item.tries++
	r.scoring.window(item.service).Began()
	r.wait.Go(func() {
		defer cancel()
		began := time.Now()
		result := r.options.Scorer.Score(ctx, item.tenant, item.call)
		r.scored(item, result, time.Since(began), ctx.Err() != nil)
	})
}

// scored handles the end of a scoring call: it completes the item, expires it or schedules a retry.
func (r *Runner) scored(item *scoringItem, result ScoringResult, took time.Duration, canceled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := r.scoring.window(item.service)
	updateWindow(window, result, canceled)
	job := r.jobs[item.key.Job]
	if r.scoring.items[item.key] != item || job == nil {
		return
	}
	r.options.Logger.Info().Str("job", item.key.Job).Str("item", job.record.Items[item.key.Item].ID).
		Str("call", item.call.ID).Str("score", result.Score).Int("tries", item.tries).Bool("refused", result.NoCapacity).
		Int("failures", result.Failures).Str("detail", result.Detail).Int("under_way", window.InFlight()).
		Dur("waited_ms", time.Since(item.since)-took).Dur("took_ms", took).Msg("scoring call ended")
	item.cancel = nil
	switch {
	case result.Score != "":
		delete(r.scoring.items, item.key)
		r.complete(job, item.key.Item, result.Score, "scored")
	case result.Failures > 0 && job.items[item.key.Item].RecordScoringFailures(result.Failures, result.MaxAttempts):
		delete(r.scoring.items, item.key)
		r.expire(job, item.key.Item, "scoring attempts used up")
	default:
		item.notBefore = time.Now().Add(item.backoff.NextBackOff())
	}
	r.Wake()
}

// updateWindow records the result of a call in the service's window.
func updateWindow(window *admission.Window, result ScoringResult, canceled bool) {
	switch {
	case result.Score != "":
		window.Answered()
	case result.NoCapacity && !canceled:
		window.Refused()
	default:
		window.Failed()
	}
}
