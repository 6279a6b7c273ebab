package history

import (
	"fmt"

	"github.com/corkpulley/corkpulley/internal/bench/live"
)

// CheckExactlyOnce finds wanted slots that no accepted delivery fills, slots
// that more than one fills, and deliveries that no one asked for.
func CheckExactlyOnce(wanted []Slot, deliveries []Delivery) []Violation {
	count := map[Slot]int{}
	for _, slot := range wanted {
		count[slot] = 0
	}
	var violations []Violation
	for i := range deliveries {
		slot := deliveries[i].Slot()
		if _, found := count[slot]; !found {
			violations = append(violations, violation(RuleExactlyOnce, "slot %s was delivered and not wanted", slot))
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

// CheckStaleness finds accepted samples whose oldest segment lies further
// behind the trainer's version than the row's bound.
func CheckStaleness(deliveries []Delivery) []Violation {
	var violations []Violation
	for i := range deliveries {
		delivery := &deliveries[i]
		for _, span := range delivery.Sample.Versions {
			if span.Version+uint64(delivery.Bound) >= delivery.TrainerVersion {
				continue
			}
			violations = append(violations, violation(RuleStaleness, "sample %s has version %d at trainer version %d, bound %d",
				delivery.Sample.ID, span.Version, delivery.TrainerVersion, delivery.Bound))
			break
		}
	}
	return violations
}

// CheckProvenance finds samples whose segments do not name, token for token,
// the versions that produced them: by the text, in which engine stand-ins write
// the version of each token, and by the engines' own histories.
func CheckProvenance(deliveries []Delivery, executions []Execution) []Violation {
	made := madeTokens(executions)
	var violations []Violation
	for i := range deliveries {
		delivery := &deliveries[i]
		for _, fault := range sampleFaults(delivery, made) {
			violations = append(violations, violation(RuleProvenance, "sample %s: %s", delivery.Sample.ID, fault))
		}
	}
	return violations
}

// madeToken is one token of some answer to a prompt under a version.
type madeToken struct {
	prompt  uint64
	index   int
	version uint64
}

func madeTokens(executions []Execution) map[madeToken]bool {
	made := map[madeToken]bool{}
	for _, execution := range executions {
		for _, span := range execution.Spans {
			for index := span.From; index < span.To; index++ {
				made[madeToken{execution.PromptHash, index, span.Version}] = true
			}
		}
	}
	return made
}

func sampleFaults(delivery *Delivery, made map[madeToken]bool) []string {
	sample := &delivery.Sample
	tokens, err := live.ParseTokens(sample.Text)
	if err != nil {
		return []string{err.Error()}
	}
	if len(tokens) != sample.Tokens {
		return []string{fmt.Sprintf("says %d tokens, its text has %d", sample.Tokens, len(tokens))}
	}
	faults := live.CheckVersions(tokens, sample.Versions)
	prompt := PromptHash(delivery.PromptText)
	for i, token := range tokens {
		if token.Index != i {
			return append(faults, fmt.Sprintf("token %d says that it is token %d", i, token.Index))
		}
		if !made[madeToken{prompt, i, token.Version}] {
			return append(faults, fmt.Sprintf("no engine made token %d under version %d", i, token.Version))
		}
	}
	return faults
}
