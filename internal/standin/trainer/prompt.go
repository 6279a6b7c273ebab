package trainer

import (
	"fmt"
	"strings"

	"github.com/corkpulley/corkpulley/internal/api"
)

// PromptText returns the text of a submitted prompt by its step ID and its index in the step, or false if the
// trainer submits no such prompt.
func (t *Trainer) PromptText(stepID string, index int) (string, bool) {
	step, known := t.StepNumber(stepID)
	if !known || index < 0 || index >= t.config.Prompts {
		return "", false
	}
	return t.prompt(step, index).Text, true
}

// StepIDs returns the IDs of all submitted steps, in order.
func (t *Trainer) StepIDs() []string {
	ids := make([]string, 0, t.config.Steps)
	for step := range t.config.Steps {
		ids = append(ids, t.stepID(step))
	}
	return ids
}

func (t *Trainer) stepID(step int) string {
	return fmt.Sprintf("%s-%d", t.config.StepPrefix, step)
}

// StepNumber returns the number of a step, from 0, or false if the ID is unknown.
func (t *Trainer) StepNumber(id string) (int, bool) {
	for step := range t.config.Steps {
		if t.stepID(step) == id {
			return step, true
		}
	}
	return 0, false
}

// stepRequest builds the step's request from the configuration only, because a retry after a restart must send
// the same request.
func (t *Trainer) stepRequest(step int) api.StepRequest {
	prompts := make([]api.StepPrompt, 0, t.config.Prompts)
	for i := range t.config.Prompts {
		prompts = append(prompts, t.prompt(step, i))
	}
	return api.StepRequest{
		Prompts:          prompts,
		SamplesPerPrompt: t.config.SamplesPerPrompt,
		MaxTokens:        t.config.MaxTokens,
		Temperature:      1,
		Seed:             t.config.Seed + int64(step),
		TrainerVersion:   t.submitVersion(step),
	}
}

// submitVersion returns the trainer's version when it first submits the step: it trains one version per step and
// submits StepsAhead steps in advance.
func (t *Trainer) submitVersion(step int) uint64 {
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	first := t.journal.version - uint64(t.journal.trainedSteps)
	return first + uint64(max(0, step-t.config.StepsAhead))
}

func (t *Trainer) prompt(step, index int) api.StepPrompt {
	group := index % t.config.Groups
	line := fmt.Sprintf("[seed %d group %d] shared context. ", t.config.Seed, group)
	prefix := strings.Repeat(line, t.config.PrefixBytes/len(line)+1)[:t.config.PrefixBytes]
	text := fmt.Sprintf("%s question %d of step %d", prefix, index, step)
	if group < len(t.config.GroupMinTokens) {
		text += fmt.Sprintf(" [shortest=%d]", t.config.GroupMinTokens[group])
	}
	return api.StepPrompt{Group: fmt.Sprintf("group-%d", group), Text: text}
}
