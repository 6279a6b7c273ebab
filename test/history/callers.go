package history

import (
	"github.com/corkpulley/corkpulley/internal/bench/live"
)

// CheckComplete finds responses that are not the complete response to their own request, in order. Unless
// allowInterrupted is set, a call that ended with neither a response nor an error is a violation too; it is set for
// runs that kill the caller's node or cut its connection. Calls that could not connect to a node are ignored.
func CheckComplete(outcomes Outcomes, allowInterrupted bool) []Violation {
	var violations []Violation
	for i := range outcomes {
		outcome := &outcomes[i]
		for _, fault := range outcome.Violations {
			violations = append(violations, violation(RuleComplete, "request %s: %s", outcomeName(outcome), fault))
		}
		if !outcome.Done && !outcome.NotConnected && !allowInterrupted {
			violations = append(violations, violation(RuleComplete, "request %s ended without a response or an error: %s",
				outcomeName(outcome), outcome.TransportError))
		}
	}
	return violations
}

// CheckOwnAnswer finds tokens of complete responses that no engine produced for the caller's prompt: parts of
// another request's response, or tokens of another attempt.
func CheckOwnAnswer(outcomes Outcomes, executions []Execution) []Violation {
	produced := producedTokens(executions)
	var violations []Violation
	for i := range outcomes {
		outcome := &outcomes[i]
		if !outcome.OK() {
			continue
		}
		tokens, err := live.ParseTokens(outcome.Text)
		if err != nil {
			violations = append(violations, violation(RuleComplete, "request %s: %v", outcomeName(outcome), err))
			continue
		}
		prompt := PromptHash(outcome.Call.Prompt)
		for _, token := range tokens {
			if !produced[producedToken{prompt, token.Index, token.Version}] {
				violations = append(violations, violation(RuleComplete,
					"request %s: no engine produced token %d under version %d for its prompt",
					outcomeName(outcome), token.Index, token.Version))
				break
			}
		}
	}
	return violations
}

// outcomeName identifies an outcome in messages, by its request ID or the end of its prompt.
func outcomeName(outcome *live.Outcome) string {
	if outcome.RequestID != "" {
		return outcome.RequestID
	}
	prompt := outcome.Call.Prompt
	const maxBytes = 60
	return prompt[max(0, len(prompt)-maxBytes):]
}

// CheckNotInterrupted finds calls that a planned stop interrupted: their response had begun or their request
// ran, and they got neither a complete response nor an error. A connection that the node closed before it read
// the request does not count.
func CheckNotInterrupted(outcomes Outcomes, executions []Execution) []Violation {
	ran := map[uint64]bool{}
	for _, execution := range executions {
		ran[execution.PromptHash] = true
	}
	var violations []Violation
	for i := range outcomes {
		outcome := &outcomes[i]
		if outcome.Done {
			continue
		}
		if outcome.Status != 0 || ran[PromptHash(outcome.Call.Prompt)] {
			violations = append(violations, violation(RuleNotInterrupted, "request %s was interrupted: %s",
				outcomeName(outcome), outcome.TransportError))
		}
	}
	return violations
}

// CheckNotExecuted finds requests that were rejected as not run but are in an engine's history. Requests are
// matched by ID, or by prompt when no other call had the same prompt.
func CheckNotExecuted(outcomes Outcomes, executions []Execution) []Violation {
	byID := map[string]Execution{}
	byPrompt := map[uint64]Execution{}
	for _, execution := range executions {
		byID[execution.RequestID] = execution
		byPrompt[execution.PromptHash] = execution
	}
	uses := promptUses(outcomes)
	var violations []Violation
	for i := range outcomes {
		outcome := &outcomes[i]
		if !outcome.Refused() {
			continue
		}
		execution, ran := byID[outcome.RequestID]
		if !ran && uses[outcome.Call.Prompt] == 1 {
			execution, ran = byPrompt[PromptHash(outcome.Call.Prompt)]
		}
		if ran {
			violations = append(violations, violation(RuleNotExecuted,
				"request %s was rejected with %s as not run, but engine %s ran it",
				outcomeName(outcome), outcome.Code, execution.Engine))
		}
	}
	return violations
}

func promptUses(outcomes Outcomes) map[string]int {
	uses := map[string]int{}
	for i := range outcomes {
		uses[outcomes[i].Call.Prompt]++
	}
	return uses
}

// CheckAtMostOnce finds requests that engines started more than once. Each prompt belongs to one non-repeatable
// request, however often callers sent it.
func CheckAtMostOnce(prompts []string, executions []Execution) []Violation {
	started := map[uint64][]Execution{}
	for _, execution := range executions {
		started[execution.PromptHash] = append(started[execution.PromptHash], execution)
	}
	var violations []Violation
	for _, prompt := range unique(prompts) {
		runs := started[PromptHash(prompt)]
		if len(runs) < 2 {
			continue
		}
		violations = append(violations, violation(RuleAtMostOnce, "request %q ran %d times, first on engine %s as %s/%d, then on %s as %s/%d",
			prompt, len(runs), runs[0].Engine, runs[0].RequestID, runs[0].Attempt,
			runs[1].Engine, runs[1].RequestID, runs[1].Attempt))
	}
	return violations
}

func unique(values []string) []string {
	seen := map[string]bool{}
	var kept []string
	for _, value := range values {
		if !seen[value] {
			seen[value] = true
			kept = append(kept, value)
		}
	}
	return kept
}
