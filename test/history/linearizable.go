package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds a linearizability check; a check that times out counts as failed.
const checkTimeout = time.Minute

// Outcome is the result of an operation as its client knows it.
type Outcome uint8

// Outcomes of operations.
const (
	// Accepted operations took effect.
	Accepted Outcome = iota
	// Refused operations did not take effect.
	Refused
	// Unknown operations may have taken effect.
	Unknown
)

// Linearizable reports whether the operations have an order that respects real time and the model.
// Operations with an unknown outcome may take effect at any later time and must return at UnknownReturn.
func Linearizable(model porcupine.Model, operations []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout) == porcupine.Ok
}

// UnknownReturn is the return time of an operation whose outcome is unknown.
const UnknownReturn = int64(1) << 62

// TableOperation proposes a table that was edited from revision Base.
type TableOperation struct {
	Base int64
}

// TableResult is the result of a TableOperation; Revision is set when it was accepted.
type TableResult struct {
	Outcome  Outcome
	Revision int64
}

// tableState is the revision in force. With above set, a proposal whose outcome is unknown took effect on that
// revision, and the one in force is an unknown higher one.
type tableState struct {
	revision int64
	above    bool
}

func (s tableState) mayBe(revision int64) bool {
	if s.above {
		return revision > s.revision
	}
	return revision == s.revision
}

func (s tableState) mustBe(revision int64) bool { return !s.above && revision == s.revision }

// TableModel accepts a proposal exactly when its base is the revision in force; accepting it raises the revision.
func TableModel(initial int64) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{tableState{revision: initial}} },
		Step: func(state, input, output any) []any {
			return stepTable(state.(tableState), input.(TableOperation), output.(TableResult))
		},
	}
	return model.ToModel()
}

func stepTable(state tableState, operation TableOperation, result TableResult) []any {
	switch result.Outcome {
	case Accepted:
		if !state.mayBe(operation.Base) || result.Revision <= operation.Base {
			return nil
		}
		return []any{tableState{revision: result.Revision}}
	case Refused:
		if state.mustBe(operation.Base) {
			return nil
		}
		return []any{state}
	default:
		if !state.mayBe(operation.Base) {
			return []any{state}
		}
		return []any{state, tableState{revision: operation.Base, above: true}}
	}
}

// CheckOneSuccessor finds revisions from which more than one accepted proposal was edited. TableModel rejects
// such histories too, but without naming the revision.
func CheckOneSuccessor(operations []porcupine.Operation) []Violation {
	successors := map[int64][]int64{}
	for _, operation := range operations {
		base, result := operation.Input.(TableOperation).Base, operation.Output.(TableResult)
		if result.Outcome == Accepted {
			successors[base] = append(successors[base], result.Revision)
		}
	}
	var violations []Violation
	for base, revisions := range successors {
		if len(revisions) > 1 {
			violations = append(violations, violation(RuleMonotonic, "revisions %v were all accepted over revision %d", revisions, base))
		}
	}
	return violations
}

// OwnershipOperation is a claim of a stream, with the epoch won and the previous epoch that it names, or an
// append of a record under an epoch.
type OwnershipOperation struct {
	Claim    bool
	Previous int64
	Epoch    int64
}

// OwnershipModel is the model of stream ownership: a claim takes effect only if it names the epoch in force and
// raises it; an append takes effect only under the epoch in force. Outputs are of type Outcome.
func OwnershipModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			return stepOwnership(state.(int64), input.(OwnershipOperation), output.(Outcome))
		},
	}
	return model.ToModel()
}

func stepOwnership(epoch int64, operation OwnershipOperation, outcome Outcome) []any {
	after := epoch
	allowed := operation.Epoch == epoch
	if operation.Claim {
		after = operation.Epoch
		allowed = operation.Previous == epoch && operation.Epoch > epoch
	}
	switch {
	case outcome == Accepted && !allowed:
		return nil
	case outcome == Accepted:
		return []any{after}
	case outcome == Unknown && allowed:
		return []any{epoch, after}
	default:
		return []any{epoch}
	}
}

// KeyedOperation is a call with an idempotency key.
type KeyedOperation struct {
	Key string
}

// KeyedResult is the result of a KeyedOperation; Answer is set when it was accepted.
type KeyedResult struct {
	Outcome Outcome
	Answer  string
}

// keyedState records whether a key's request ran, and its response if a caller has received it.
type keyedState struct {
	ran    bool
	known  bool
	answer string
}

// KeyedModel runs a key's request at most once and gives every accepted call the same response.
func KeyedModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{keyedState{}} },
		Step: func(state, _, output any) []any {
			return stepKeyed(state.(keyedState), output.(KeyedResult))
		},
	}
	return model.ToModel()
}

func stepKeyed(state keyedState, result KeyedResult) []any {
	switch result.Outcome {
	case Accepted:
		if state.known && state.answer != result.Answer {
			return nil
		}
		return []any{keyedState{ran: true, known: true, answer: result.Answer}}
	case Refused:
		return []any{state}
	default:
		if state.ran {
			return []any{state}
		}
		return []any{state, keyedState{ran: true}}
	}
}

func partitionByKey(operations []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		key := operation.Input.(KeyedOperation).Key
		byKey[key] = append(byKey[key], operation)
	}
	parts := make([][]porcupine.Operation, 0, len(byKey))
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// KeyedOperations converts the callers' history into operations on keys. Calls that were answered with a result
// are Accepted, calls that were rejected as not run Refused.
func KeyedOperations(outcomes Outcomes) []porcupine.Operation {
	var operations []porcupine.Operation
	for i := range outcomes {
		outcome := &outcomes[i]
		if outcome.Call.IdempotencyKey == "" {
			continue
		}
		operation := porcupine.Operation{
			ClientId: i,
			Input:    KeyedOperation{outcome.Call.IdempotencyKey},
			Call:     outcome.Started,
			Return:   outcome.Ended,
			Output:   KeyedResult{Outcome: Refused},
		}
		switch {
		case outcome.OK():
			operation.Output = KeyedResult{Accepted, outcome.Text}
		case !outcome.Refused() && !outcome.NotConnected:
			operation.Output = KeyedResult{Outcome: Unknown}
			operation.Return = UnknownReturn
		}
		operations = append(operations, operation)
	}
	return operations
}
