package coordinator

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
)

// errAbandoned is the cancellation cause of slot runs whose step was abandoned.
var errAbandoned = errors.New("step abandoned")

// abandon records that the step is abandoned and returns its status once the record is read back.
func (t *tenure) abandon(ctx context.Context, step string) (api.StepStatus, error) {
	if _, _, err := t.currentTerms(); err != nil {
		return api.StepStatus{}, err
	}
	status, err := t.stepStatus(step)
	if err != nil || status.Done || status.Abandoned {
		return status, err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	// A verdict other than Accepted means that the step ended in the meantime.
	if _, _, err := t.propose(ctx, ledger.KindStepAbandoned, ledger.StepAbandoned{Step: step}); err != nil {
		return api.StepStatus{}, t.proposeError(ctx, err)
	}
	t.logger.Info().Str("step", step).Msg("step abandoned")
	t.reschedule()
	return t.stepStatus(step)
}

// cancelAbandoned cancels the runs of slots whose step has ended.
func (t *tenure) cancelAbandoned() {
	t.mutex.Lock()
	running := make([]*slotRun, 0, len(t.running))
	for _, run := range t.running {
		running = append(running, run)
	}
	t.mutex.Unlock()
	open := make(map[string]bool)
	t.stream.View(func() {
		for _, run := range running {
			step := run.slot.Sample.Step
			open[step] = t.ledger.StepOpen(step)
		}
	})
	for _, run := range running {
		if !open[run.slot.Sample.Step] {
			run.cancelWith(errAbandoned)
		}
	}
}

// cancelWith cancels the current attempt.
func (r *slotRun) cancelWith(cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancel != nil {
		r.cancel(cause)
	}
}

// abandonedStatuses returns the status of recently abandoned steps.
func (t *tenure) abandonedStatuses() []api.StepStatus {
	return t.statuses(t.ledger.AbandonedCounts)
}
