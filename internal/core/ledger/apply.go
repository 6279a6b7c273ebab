package ledger

import "slices"

// submit adds a step. A known step ID has no effect, whatever its request is.
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

// fill records a sample for an open slot; the first one for the current
// attempt wins.
func (l *Ledger) fill(offset int64, body *SampleFilled) bool {
	step := l.stepByID[body.Sample.Step]
	if step == nil {
		return false
	}
	slot := step.slot(body.Sample)
	oldest, whole := OldestVersion(body.Versions, body.Tokens)
	if slot == nil || slot.State != SlotOpen || !whole {
		return false
	}
	slot.State = SlotFilled
	slot.FillOffset = offset
	slot.Oldest = oldest
	slot.Bytes = len(body.Text)
	return true
}

// discard reopens the slots of samples that are too old under the terms.
func (l *Ledger) discard(body *SamplesDiscarded) bool {
	if body.Reason != DiscardStale || !l.allowed(body.Terms) {
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
	return effect && l.note(body.Terms)
}

// deliver gives each fresh, unacknowledged sample the record's token; the
// token supersedes that of an earlier delivery.
func (l *Ledger) deliver(offset int64, body *Delivered) bool {
	if !l.allowed(body.Terms) {
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
	return effect && l.note(body.Terms)
}

// acknowledge marks samples as used by the trainer. One that is no longer
// fresh at the trainer's version is discarded instead. A repeat is accepted
// again and changes nothing.
func (l *Ledger) acknowledge(body *Acknowledged) bool {
	if body.Token <= 0 || !l.allowed(body.Terms) {
		return false
	}
	repeated, effect := false, false
	for _, key := range body.Samples {
		if l.receipted(body.Token, key) {
			repeated = true
		} else if l.acknowledgeOne(key, body) {
			effect = true
		}
	}
	return effect && l.note(body.Terms) || repeated
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

// finishStep replaces a step by its summary and forgets the oldest summaries.
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

// allowed refuses terms from a table revision older than one already used:
// a bound once tightened is never loosened by a node that lags.
func (l *Ledger) allowed(terms Terms) bool {
	return terms.Bound >= 0 && terms.TableRevision >= l.tableRevision
}

// note remembers the terms of a record that had an effect; it returns true.
func (l *Ledger) note(terms Terms) bool {
	l.tableRevision = terms.TableRevision
	l.trainerVersion = terms.TrainerVersion
	return true
}

func (t Terms) fresh(slot *Slot) bool {
	return Fresh(slot.Oldest, t.TrainerVersion, t.Bound)
}

func (l *Ledger) filledSlot(key SampleKey) (*Step, *Slot) {
	step := l.stepByID[key.Step]
	if step == nil {
		return nil, nil
	}
	return step, step.filled(key)
}

// receipted reports whether the sample was acknowledged under the token.
func (l *Ledger) receipted(token int64, key SampleKey) bool {
	if finished := l.finishedByID[key.Step]; finished != nil {
		return finished.receipted(token, key)
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
