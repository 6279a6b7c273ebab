package ledger

// abandonedListed is how many of the last finished steps are looked through for
// abandoned ones when they are listed.
const abandonedListed = ReceiptSteps

// abandon ends an unfinished step: its open slots are wanted no more, and its
// samples that are not acknowledged can neither be delivered nor acknowledged.
// A step that is unknown or finished is left as it is.
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

// AbandonedCounts returns the counts of the abandoned ones among the last
// finished steps, oldest first.
func (l *Ledger) AbandonedCounts() []Counts {
	var counts []Counts
	for _, finished := range l.finished[max(0, len(l.finished)-abandonedListed):] {
		if finished.Abandoned {
			counts = append(counts, finished.counts())
		}
	}
	return counts
}
