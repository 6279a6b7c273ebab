package gateway

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/router"
)

// objectCompletion is the "object" value of completion bodies.
const objectCompletion = "text_completion"

// completionTemplate holds the fields shared by all bodies of an answer.
type completionTemplate struct {
	id           string
	created      int64
	service      string
	promptTokens int
}

// body returns a completion with the text; finishReason is nil except at the end of the answer.
func (t *completionTemplate) body(text string, finishReason *string, versions []api.VersionSpan) api.Completion {
	return api.Completion{
		ID:       t.id,
		Object:   objectCompletion,
		Created:  t.created,
		Model:    t.service,
		Choices:  []api.CompletionChoice{{Text: text, FinishReason: finishReason}},
		Versions: versions,
	}
}

// finalBody returns the last completion of an answer, with its usage.
func (t *completionTemplate) finalBody(text string, result router.Result) api.Completion {
	completion := t.body(text, &result.FinishReason, result.Versions)
	completion.Usage = &api.Usage{
		PromptTokens:     t.promptTokens,
		CompletionTokens: result.Tokens,
		TotalTokens:      t.promptTokens + result.Tokens,
		CachedTokens:     result.CachedTokens,
	}
	return completion
}

// promptTokens estimates the number of prompt tokens, since only engines tokenize.
func promptTokens(prompt string) int {
	return (len(prompt) + engine.BytesPerToken - 1) / engine.BytesPerToken
}
