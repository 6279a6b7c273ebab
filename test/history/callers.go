package history

import (
	"github.com/corkpulley/corkpulley/internal/bench/live"
)

// CheckComplete finds answers that are not the whole answer to their own
// request, in order. With allowBroken false, an answer that ended without an
// error told to the caller is a violation too; true is for runs in which the
// caller's own node was killed or its connection cut. A call that found no node
// to connect to asked no one.
func CheckComplete(outcomes Outcomes, allowBroken bool) []Violation {
	var violations []Violation
	for i := range outcomes {
		outcome := &outcomes[i]
		for _, fault := range outcome.Faults {
			violations = append(violations, violation(RuleComplete, "request %s: %s", name(outcome), fault))
		}
		if !outcome.Done && !outcome.NotConnected && !allowBroken {
			violations = append(violations, violation(RuleComplete, "request %s ended without an answer or an error: %s",
				name(outcome), outcome.TransportError))
		}
	}
	return violations
}

// CheckOwnAnswer finds tokens of whole answers that no engine made for the
// caller's own prompt: parts of another request's answer, or tokens that an
// engine made in an attempt that the answer is not of.
func CheckOwnAnswer(outcomes Outcomes, executions []Execution) []Violation {
	made := madeTokens(executions)
	var violations []Violation
	for i := range outcomes {
		outcome := &outcomes[i]
		if !outcome.OK() {
			continue
		}
		tokens, err := live.ParseTokens(outcome.Text)
		if err != nil {
			violations = append(violations, violation(RuleComplete, "request %s: %v", name(outcome), err))
			continue
		}
		prompt := PromptHash(outcome.Call.Prompt)
		for _, token := range tokens {
			if !made[madeToken{prompt, token.Index, token.Version}] {
				violations = append(violations, violation(RuleComplete, "request %s: no engine made token %d under version %d for it",
					name(outcome), token.Index, token.Version))
				break
			}
		}
	}
	return violations
}

// name identifies an outcome in messages.
func name(outcome *live.Outcome) string {
	if outcome.RequestID != "" {
		return outcome.RequestID
	}
	prompt := outcome.Call.Prompt
	const shown = 60
	return prompt[max(0, len(prompt)-shown):]
}

// CheckNotCut finds calls that a planned stop cut short: those whose answer
// began or whose request ran, and which got neither the whole answer nor an
// error. A connection that the stopping node closed before it read the request
// cut nothing.
func CheckNotCut(outcomes Outcomes, executions []Execution) []Violation {
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
			violations = append(violations, violation(RuleNotCut, "request %s was cut short: %s",
				name(outcome), outcome.TransportError))
		}
	}
	return violations
}

// CheckNotExecuted finds requests that were refused as not run and stand in an
// engine's history. A request is known by its ID; by its prompt, too, when no
// other call had the same prompt.
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
			violations = append(violations, violation(RuleNotExecuted, "request %s was refused with %s as not run, engine %s ran it",
				name(outcome), outcome.Code, execution.Engine))
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

// CheckAtMostOnce finds requests that engines started more than once. Prompts
// are those of the requests that are not repeatable: one prompt stands for one
// such request, however often callers sent it.
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
