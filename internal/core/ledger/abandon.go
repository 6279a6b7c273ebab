package ledger

// abandonedLookback is the number of most recently finished steps that
// AbandonedCounts considers.
const abandonedLookback = ReceiptSteps

// abandon finishes an open step: its open slots are no longer filled, and its
// unacknowledged samples can no longer be delivered or acknowledged. It has no
// effect on an unknown or finished step.
func (l *Ledger) abandon(body *StepAbandoned) bool {
	step := l.stepByID[body.Step]
	if step == nil {
		return false
	}
	l.finishStep(step)
	return true
}

// StepOpen reports whether the step is known and not finished.
func (l *Ledger) StepOpen(step string) bool { return l.stepByID[step] != nil }

// AbandonedCounts returns the counts of the abandoned steps among the last
// ReceiptSteps finished ones, oldest first.
func (l *Ledger) AbandonedCounts() []Counts {
	var counts []Counts
	for _, finished := range l.finished[max(0, len(l.finished)-abandonedLookback):] {
		if finished.Abandoned {
			counts = append(counts, finished.counts())
		}
	}
	return counts
}
