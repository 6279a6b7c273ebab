package history

import (
	"fmt"

	"github.com/corkpulley/corkpulley/internal/bench/live"
)

// CheckExactlyOnce finds requested slots with no accepted delivery or with several, and deliveries for slots that
// were not requested.
func CheckExactlyOnce(wanted []Slot, deliveries []Delivery) []Violation {
	count := map[Slot]int{}
	for _, slot := range wanted {
		count[slot] = 0
	}
	var violations []Violation
	for i := range deliveries {
		slot := deliveries[i].Slot()
		if _, found := count[slot]; !found {
			violations = append(violations, violation(RuleExactlyOnce, "slot %s was delivered but not requested", slot))
			continue
		}
		count[slot]++
	}
	for _, slot := range wanted {
		switch times := count[slot]; {
		case times == 0:
			violations = append(violations, violation(RuleExactlyOnce, "slot %s was lost", slot))
		case times > 1:
			violations = append(violations, violation(RuleExactlyOnce, "slot %s was delivered %d times", slot, times))
		}
	}
	return violations
}

// CheckStaleness finds accepted samples whose oldest segment is further behind the trainer's version than the
// staleness bound.
func CheckStaleness(deliveries []Delivery) []Violation {
	var violations []Violation
	for i := range deliveries {
		delivery := &deliveries[i]
		for _, span := range delivery.Sample.Versions {
			if span.Version+uint64(delivery.StalenessBound) >= delivery.TrainerVersion {
				continue
			}
			violations = append(violations, violation(RuleStaleness, "sample %s has version %d at trainer version %d, bound %d",
				delivery.Sample.ID, span.Version, delivery.TrainerVersion, delivery.StalenessBound))
			break
		}
	}
	return violations
}

// CheckProvenance finds samples whose segments do not name, token by token, the versions that produced them,
// by the versions in the sample's text and by the engines' histories.
func CheckProvenance(deliveries []Delivery, executions []Execution) []Violation {
	produced := producedTokens(executions)
	var violations []Violation
	for i := range deliveries {
		delivery := &deliveries[i]
		for _, fault := range sampleFaults(delivery, produced) {
			violations = append(violations, violation(RuleProvenance, "sample %s: %s", delivery.Sample.ID, fault))
		}
	}
	return violations
}

// producedToken is a token that an engine produced for a prompt under a version.
type producedToken struct {
	prompt  uint64
	index   int
	version uint64
}

func producedTokens(executions []Execution) map[producedToken]bool {
	produced := map[producedToken]bool{}
	for _, execution := range executions {
		for _, span := range execution.Spans {
			for index := span.From; index < span.To; index++ {
				produced[producedToken{execution.PromptHash, index, span.Version}] = true
			}
		}
	}
	return produced
}

func sampleFaults(delivery *Delivery, produced map[producedToken]bool) []string {
	sample := &delivery.Sample
	tokens, err := live.ParseTokens(sample.Text)
	if err != nil {
		return []string{err.Error()}
	}
	if len(tokens) != sample.Tokens {
		return []string{fmt.Sprintf("sample has a token count of %d, but its text has %d", sample.Tokens, len(tokens))}
	}
	faults := live.CheckVersions(tokens, sample.Versions)
	prompt := PromptHash(delivery.PromptText)
	for i, token := range tokens {
		if token.Index != i {
			return append(faults, fmt.Sprintf("token %d is numbered %d", i, token.Index))
		}
		if !produced[producedToken{prompt, i, token.Version}] {
			return append(faults, fmt.Sprintf("no engine produced token %d under version %d", i, token.Version))
		}
	}
	return faults
}
