package trainer

// PromptText returns the text of a prompt that this trainer submits, by its
// step's ID and its index in the step; false when it submits no such prompt.
func (t *Trainer) PromptText(stepID string, index int) (string, bool) {
	step, known := t.StepNumber(stepID)
	if !known || index < 0 || index >= t.config.Prompts {
		return "", false
	}
	return t.prompt(step, index).Text, true
}

// StepIDs returns the IDs of all steps that this trainer submits, in order.
func (t *Trainer) StepIDs() []string {
	ids := make([]string, 0, t.config.Steps)
	for step := range t.config.Steps {
		ids = append(ids, t.stepID(step))
	}
	return ids
}
