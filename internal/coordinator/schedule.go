package coordinator

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

const (
	// defaultWindow is the number of slots in flight if no cell is known.
	defaultWindow = 16
	// windowSlackPercent is the number of slots that may be queued at dispatchers, in
	// percent of the cells' slots, so that no engine is idle.
	windowSlackPercent = 25
	// maxWindow limits the slots in flight of one trainer.
	maxWindow = 4096
	// unrecordedFactor limits the slots that run, are scored or recorded, as a
	// multiple of the window: engines may keep generating while the log is down.
	unrecordedFactor = 4
	// discardBatch is the maximum number of samples in a discard record.
	discardBatch = 1024
)

// schedule runs one scheduling round: it discards samples beyond the staleness
// bound, cancels runs that are beyond it or abandoned, and starts open slots.
func (t *tenure) schedule() {
	row, terms, err := t.currentTerms()
	if err != nil {
		return
	}
	t.discardStale(terms)
	t.cancelStale(terms)
	t.cancelAbandoned()
	t.startSlots(row, terms)
}

// discardStale records a discard of samples beyond the staleness bound; at most
// one such record is pending at a time.
func (t *tenure) discardStale(terms ledger.FreshnessTerms) {
	var stale []ledger.StoredSample
	t.stream.View(func() { stale = t.ledger.Stale(terms, discardBatch) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(stale) == 0 || t.discarding || t.closed {
		return
	}
	t.discarding = true
	keys := make([]ledger.SampleKey, 0, len(stale))
	for _, sample := range stale {
		keys = append(keys, sample.Sample)
	}
	t.slots.Go(func() { t.discard(keys, terms) })
}

func (t *tenure) discard(keys []ledger.SampleKey, terms ledger.FreshnessTerms) {
	body := ledger.SamplesDiscarded{Samples: keys, Reason: ledger.DiscardStale, Terms: terms}
	_, accepted, err := t.propose(t.ctx, ledger.KindSamplesDiscarded, body)
	if accepted {
		t.metrics.samples.WithLabelValues(t.trainer, eventDiscarded).Add(float64(len(keys)))
		t.logger.Info().Int("samples", len(keys)).Uint64("trainer_version", terms.TrainerVersion).
			Int("bound", terms.Bound).Msg("stale samples discarded")
	}
	t.mutex.Lock()
	t.discarding = false
	t.mutex.Unlock()
	if err == nil && accepted {
		t.reschedule()
	}
}

// cancelStale cancels runs whose oldest token is beyond the staleness bound.
func (t *tenure) cancelStale(terms ledger.FreshnessTerms) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, run := range t.running {
		run.cancelStale(terms)
	}
}

// startSlots starts open slots up to the window. Within a step, the slots with the
// longest expected answers start first, since they determine when the step ends.
// A later step starts only when all slots of the earlier steps are on engines:
// dispatchers order a trainer's queue by expected length, so long slots of a
// later step would overtake short ones of an earlier step.
func (t *tenure) startSlots(row policy.Row, terms ledger.FreshnessTerms) {
	free := t.freeWindow(row)
	if free <= 0 {
		return
	}
	var open []ledger.OpenSlot
	t.stream.View(func() { open = t.ledger.OpenSlots() })
	for len(open) > 0 && free > 0 {
		step := open[0].Sample.Step
		end := slices.IndexFunc(open, func(slot ledger.OpenSlot) bool { return slot.Sample.Step != step })
		if end < 0 {
			end = len(open)
		}
		idle, waiting := t.notRunning(open[:end])
		if len(idle) > 0 {
			free -= t.startStep(idle, free)
		}
		if waiting || len(idle) > 0 {
			return
		}
		open = open[end:]
	}
}

// notRunning returns the slots that are not running, and whether any running slot
// is waiting for an engine.
func (t *tenure) notRunning(open []ledger.OpenSlot) (idle []ledger.OpenSlot, waiting bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, slot := range open {
		run := t.running[slot.Sample]
		if run == nil {
			idle = append(idle, slot)
			continue
		}
		waiting = waiting || run.waiting.Load()
	}
	return idle, waiting
}

// startStep starts at most limit slots of one step and returns the number started.
func (t *tenure) startStep(slots []ledger.OpenSlot, limit int) int {
	request, err := t.stepRequest(t.ctx, slots[0])
	if err != nil {
		t.logger.Warn().Err(err).Str("step", slots[0].Sample.Step).Msg("could not read step request, retrying")
		return 0
	}
	runs := make([]*slotRun, 0, len(slots))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	expectedTokens := make(map[int]int)
	for _, slot := range slots {
		if _, known := expectedTokens[slot.Prompt]; !known {
			expectedTokens[slot.Prompt] = t.lengths.Expect(lengthGroup(request, slot.Prompt), request.MaxTokens)
		}
		runs = append(runs, &slotRun{tenure: t, slot: slot, request: request, expectedTokens: expectedTokens[slot.Prompt]})
	}
	slices.SortStableFunc(runs, func(a, b *slotRun) int { return cmp.Compare(b.expectedTokens, a.expectedTokens) })
	if len(runs) > limit {
		runs = runs[:limit]
	}
	for _, run := range runs {
		t.startRun(run)
	}
	return len(runs)
}

// startRun starts one run. Must be called with mutex held.
func (t *tenure) startRun(run *slotRun) {
	if t.closed || t.ctx.Err() != nil {
		return
	}
	run.waiting.Store(true)
	t.running[run.slot.Sample] = run
	t.metrics.running.Inc()
	t.slots.Go(func() {
		run.run(t.ctx)
		t.metrics.running.Dec()
		t.mutex.Lock()
		delete(t.running, run.slot.Sample)
		t.mutex.Unlock()
		t.reschedule()
	})
}

// freeWindow returns the number of slots that may be started now.
func (t *tenure) freeWindow(row policy.Row) int {
	window := t.window(row)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	generating := 0
	for _, run := range t.running {
		if !run.generated.Load() {
			generating++
		}
	}
	return min(window-generating, window*unrecordedFactor-len(t.running))
}

// window returns the target number of slots in flight: the capacity of the cells
// in the row's pool and zones plus slack, limited by the row's cap.
func (t *tenure) window(row policy.Row) int {
	slots := 0
	for _, digest := range t.options.View.Cells() {
		if digest.Cell.Pool == row.Pool && allowsZone(row, digest.Cell.Zone) {
			slots += digest.Slots
		}
	}
	window := defaultWindow
	if slots > 0 {
		window = slots + slots*windowSlackPercent/100 + 1
	}
	if row.Cap > 0 {
		window = min(window, row.Cap)
	}
	return min(window, maxWindow)
}

func allowsZone(row policy.Row, zone string) bool {
	return len(row.Zones) == 0 || slices.Contains(row.Zones, zone)
}

// stepRequest returns a step's request from the cache or the log.
func (t *tenure) stepRequest(ctx context.Context, slot ledger.OpenSlot) (*ledger.StepSubmitted, error) {
	if request, cached := t.requestCache.Get(slot.Sample.Step); cached {
		return request, nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	// Draining must not wait for a log that does not respond.
	ctx, stop := t.coordinator.contextUntilDrain(ctx, 0)
	defer stop()
	request := new(ledger.StepSubmitted)
	if err := t.readBody(ctx, slot.StepOffset, request); err != nil {
		return nil, err
	}
	t.requestCache.Add(slot.Sample.Step, request)
	return request, nil
}

// lengthGroup returns the key for estimating a prompt's answer length: the
// prompt's group, or a hash of the prompt if it has none.
func lengthGroup(request *ledger.StepSubmitted, prompt int) string {
	if group := request.Prompts[prompt].Group; group != "" {
		return "group:" + group
	}
	return "prompt:" + strconv.FormatUint(xxhash.Sum64String(request.Prompts[prompt].Text), 16)
}
