package ledger

import "slices"

// submit adds a step. It has no effect if the step ID is known, even if the request
// differs.
func (l *Ledger) submit(offset int64, body *StepSubmitted) bool {
	if !body.valid() || len(l.steps) >= MaxOpenSteps {
		return false
	}
	if _, known := l.Fingerprint(body.Step); known {
		return false
	}
	step := newStep(offset, body)
	l.steps = append(l.steps, step)
	l.stepByID[step.ID] = step
	l.trainerVersion = body.TrainerVersion
	return true
}

func (body *StepSubmitted) valid() bool {
	return ValidStepID(body.Step) &&
		body.SamplesPerPrompt >= 1 && body.SamplesPerPrompt <= MaxSamplesPerPrompt &&
		len(body.Prompts) >= 1 && len(body.Prompts) <= MaxSlots/body.SamplesPerPrompt
}

// fill records a sample for an open slot. Only the first sample for the current
// attempt is accepted.
func (l *Ledger) fill(offset int64, body *SampleFilled) bool {
	step := l.stepByID[body.Sample.Step]
	if step == nil {
		return false
	}
	slot := step.slot(body.Sample)
	oldest, complete := OldestVersion(body.Versions, body.Tokens)
	if slot == nil || slot.State != SlotOpen || !complete {
		return false
	}
	slot.State = SlotFilled
	slot.FillOffset = offset
	slot.Oldest = oldest
	slot.Bytes = len(body.Text)
	return true
}

// discard reopens the slots of samples that are stale under the terms.
func (l *Ledger) discard(body *SamplesDiscarded) bool {
	if body.Reason != DiscardStale || !l.acceptsTerms(body.Terms) {
		return false
	}
	effect := false
	for _, key := range body.Samples {
		step, slot := l.filledSlot(key)
		if slot != nil && !body.Terms.fresh(slot) {
			step.discard(slot)
			effect = true
		}
	}
	return effect && l.recordTerms(body.Terms)
}

// deliver assigns the record's token to each fresh, unacknowledged sample. It
// replaces the token of an earlier delivery.
func (l *Ledger) deliver(offset int64, body *Delivered) bool {
	if !l.acceptsTerms(body.Terms) {
		return false
	}
	effect := false
	for _, key := range body.Samples {
		_, slot := l.filledSlot(key)
		if slot != nil && body.Terms.fresh(slot) {
			slot.Token = TokenOf(offset)
			effect = true
		}
	}
	return effect && l.recordTerms(body.Terms)
}

// acknowledge marks samples as used by the trainer. A sample that is no longer
// fresh at the trainer's version is discarded instead. A repeated acknowledgement
// is accepted and has no effect.
func (l *Ledger) acknowledge(body *Acknowledged) bool {
	if body.Token <= 0 || !l.acceptsTerms(body.Terms) {
		return false
	}
	repeated, effect := false, false
	for _, key := range body.Samples {
		if l.hasReceipt(body.Token, key) {
			repeated = true
		} else if l.acknowledgeOne(key, body) {
			effect = true
		}
	}
	return effect && l.recordTerms(body.Terms) || repeated
}

func (l *Ledger) acknowledgeOne(key SampleKey, body *Acknowledged) bool {
	step, slot := l.filledSlot(key)
	if slot == nil || slot.Token != body.Token {
		return false
	}
	if !body.Terms.fresh(slot) {
		step.discard(slot)
		return true
	}
	slot.State = SlotAcknowledged
	step.Acknowledged++
	if step.Acknowledged == len(step.Slots) {
		l.finishStep(step)
	}
	return true
}

// finishStep replaces a step with its summary and evicts the oldest receipts and
// summaries beyond their limits.
func (l *Ledger) finishStep(step *Step) {
	l.steps = slices.DeleteFunc(l.steps, func(other *Step) bool { return other == step })
	delete(l.stepByID, step.ID)
	summary := step.finish()
	l.finished = append(l.finished, summary)
	l.finishedByID[summary.ID] = summary
	if older := len(l.finished) - ReceiptSteps - 1; older >= 0 {
		l.finished[older].Receipts = nil
	}
	if len(l.finished) > FinishedSteps {
		delete(l.finishedByID, l.finished[0].ID)
		l.finished = slices.Delete(l.finished, 0, 1)
	}
}

// acceptsTerms rejects terms from a table revision older than one already used, so
// that a lagging node can't relax a tightened bound.
func (l *Ledger) acceptsTerms(terms FreshnessTerms) bool {
	return terms.Bound >= 0 && terms.TableRevision >= l.tableRevision
}

// recordTerms stores the terms of a record that had an effect. It returns true.
func (l *Ledger) recordTerms(terms FreshnessTerms) bool {
	l.tableRevision = terms.TableRevision
	l.trainerVersion = terms.TrainerVersion
	return true
}

func (t FreshnessTerms) fresh(slot *Slot) bool {
	return Fresh(slot.Oldest, t.TrainerVersion, t.Bound)
}

func (l *Ledger) filledSlot(key SampleKey) (*Step, *Slot) {
	step := l.stepByID[key.Step]
	if step == nil {
		return nil, nil
	}
	return step, step.unacknowledgedSlot(key)
}

// hasReceipt reports whether the sample was acknowledged under the token.
func (l *Ledger) hasReceipt(token int64, key SampleKey) bool {
	if finished := l.finishedByID[key.Step]; finished != nil {
		return finished.hasReceipt(token, key)
	}
	step := l.stepByID[key.Step]
	if step == nil {
		return false
	}
	slot := step.slot(key)
	return slot != nil && slot.State == SlotAcknowledged && slot.Token == token
}

// TokenOf returns the token of the delivery recorded at the offset.
func TokenOf(offset int64) int64 { return offset + 1 }
