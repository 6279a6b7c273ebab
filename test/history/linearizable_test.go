package history

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/live"
)

func operation(call, end int64, input, output any) porcupine.Operation {
	return porcupine.Operation{Call: call, Return: end, Input: input, Output: output}
}

func proposal(call, end, base int64, outcome Outcome, revision int64) porcupine.Operation {
	return operation(call, end, TableOperation{base}, TableResult{outcome, revision})
}

// Guards against a checker that misses two proposals accepted on one base revision, a wrong refusal or a reverted
// revision, or that rejects a proposal whose outcome was unknown and that took effect late.
func TestTableModel(t *testing.T) {
	race := []porcupine.Operation{proposal(1, 9, 0, Accepted, 4), proposal(1, 9, 0, Refused, 0)}
	assert.Assert(t, Linearizable(TableModel(0), race))
	bothAccepted := []porcupine.Operation{proposal(1, 9, 0, Accepted, 4), proposal(1, 9, 0, Accepted, 5)}
	assert.Assert(t, !Linearizable(TableModel(0), bothAccepted))
	assertViolation(t, CheckOneSuccessor(race), "")
	assertViolation(t, CheckOneSuccessor(bothAccepted), RuleMonotonic)
	wronglyRefused := []porcupine.Operation{proposal(1, 2, 0, Accepted, 4), proposal(3, 4, 4, Refused, 0)}
	assert.Assert(t, !Linearizable(TableModel(0), wronglyRefused))
	reverted := []porcupine.Operation{proposal(1, 2, 0, Accepted, 4), proposal(3, 4, 4, Accepted, 2)}
	assert.Assert(t, !Linearizable(TableModel(0), reverted))
	lateEffect := []porcupine.Operation{
		proposal(1, UnknownReturn, 0, Unknown, 0),
		proposal(2, 3, 0, Refused, 0),
		proposal(4, 5, 6, Accepted, 8),
	}
	assert.Assert(t, Linearizable(TableModel(0), lateEffect))
	assert.Assert(t, !Linearizable(TableModel(0), lateEffect[1:]))
}

// Guards against a checker that misses a record of the previous owner accepted after a takeover, two claims accepted
// after one epoch, or an epoch that decreases.
func TestOwnershipModel(t *testing.T) {
	claim := func(call, end, previous, epoch int64, outcome Outcome) porcupine.Operation {
		return operation(call, end, OwnershipOperation{Claim: true, Previous: previous, Epoch: epoch}, outcome)
	}
	write := func(call, end, epoch int64, outcome Outcome) porcupine.Operation {
		return operation(call, end, OwnershipOperation{Epoch: epoch}, outcome)
	}
	takeover := []porcupine.Operation{claim(1, 2, 0, 1, Accepted), write(3, 4, 1, Accepted), claim(5, 6, 1, 7, Accepted), write(7, 8, 1, Refused)}
	assert.Assert(t, Linearizable(OwnershipModel(), takeover))
	late := append(takeover, write(9, 10, 1, Accepted))
	assert.Assert(t, !Linearizable(OwnershipModel(), late))
	unknownClaim := []porcupine.Operation{claim(1, 2, 0, 1, Accepted), claim(3, UnknownReturn, 1, 5, Unknown), write(4, 5, 5, Accepted)}
	assert.Assert(t, Linearizable(OwnershipModel(), unknownClaim))
	bothClaimed := []porcupine.Operation{claim(1, 9, 0, 5, Accepted), claim(1, 9, 0, 6, Accepted)}
	assert.Assert(t, !Linearizable(OwnershipModel(), bothClaimed))
	backwards := []porcupine.Operation{claim(1, 2, 0, 5, Accepted), claim(3, 4, 5, 1, Accepted)}
	assert.Assert(t, !Linearizable(OwnershipModel(), backwards))
}

// Guards against a checker that misses a second, different answer for one idempotency key.
func TestKeyedModel(t *testing.T) {
	call := func(key string, started, ended int64, text, executed string) live.Outcome {
		return live.Outcome{
			Call: live.Call{IdempotencyKey: key}, Started: started, Ended: ended,
			Text: text, Executed: executed, Done: text != "", Code: codeFor(executed),
		}
	}
	good := Outcomes{
		call("k", 1, 5, "a", ""), call("k", 2, 6, "a", ""), call("k", 7, 8, "", "unknown"),
		call("other", 1, 2, "b", ""), call("", 1, 2, "c", ""), call("k", 9, 10, "", "no"),
	}
	operations := KeyedOperations(good)
	assert.Equal(t, len(operations), 5)
	assert.Assert(t, Linearizable(KeyedModel(), operations))
	twoAnswers := append(good, call("k", 9, 10, "z", ""))
	assert.Assert(t, !Linearizable(KeyedModel(), KeyedOperations(twoAnswers)))
}

func codeFor(executed string) string {
	if executed == "" {
		return ""
	}
	return "outcome_unknown"
}
