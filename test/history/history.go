// Package history checks recorded histories of concurrent runs against what
// must always hold. A checker takes what callers, trainers, operators and
// engines recorded and returns every violation that it finds; it never asks the
// daemons, whose own counters prove nothing.
package history

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
)

// Violation is one broken promise.
type Violation struct {
	// Rule names the checker.
	Rule    string
	Message string
}

// String is the one-line form for test output.
func (v Violation) String() string { return v.Rule + ": " + v.Message }

// Rules of the checkers.
const (
	RuleComplete    = "complete response"
	RuleNotCut      = "planned stop cuts nothing short"
	RuleNotExecuted = "refusal not executed"
	RuleAtMostOnce  = "at most once"
	RuleExactlyOnce = "exactly once delivery"
	RuleStaleness   = "staleness bound"
	RuleProvenance  = "version provenance"
	RuleDrain       = "engine drain"
	RuleMonotonic   = "configuration never reverts"
	RuleConvergence = "configuration converges"
)

func violation(rule, format string, arguments ...any) Violation {
	return Violation{Rule: rule, Message: fmt.Sprintf(format, arguments...)}
}

// Report joins violations for a test's message; it is empty when there are none.
func Report(violations []Violation) string {
	lines := make([]string, 0, len(violations))
	for _, found := range violations {
		lines = append(lines, found.String())
	}
	return strings.Join(lines, "\n")
}

// Execution is one request that an engine really started.
type Execution struct {
	Engine      string
	Incarnation string
	engine.RequestHistory
}

// Executions flattens the histories of engines. Histories of the same engine
// process may be given several times; the longest one counts.
func Executions(histories ...engine.History) []Execution {
	longest := map[string]engine.History{}
	var order []string
	for _, recorded := range histories {
		key := recorded.ID + "/" + recorded.Incarnation
		known, found := longest[key]
		if !found {
			order = append(order, key)
		}
		if !found || len(recorded.Requests) >= len(known.Requests) {
			longest[key] = recorded
		}
	}
	var executions []Execution
	for _, key := range order {
		recorded := longest[key]
		for _, request := range recorded.Requests {
			executions = append(executions, Execution{recorded.ID, recorded.Incarnation, request})
		}
	}
	return executions
}

// PromptHash is the hash by which engines' histories name a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Slot is one wanted sample of a trainer.
type Slot struct {
	Trainer string
	Step    string
	Prompt  int
	Index   int
}

// String names the slot in messages.
func (s Slot) String() string {
	return fmt.Sprintf("%s/%s[%d][%d]", s.Trainer, s.Step, s.Prompt, s.Index)
}

// Delivery is one sample whose acknowledgement the service accepted, as the
// trainer recorded it.
type Delivery struct {
	Trainer string
	Sample  api.Sample
	// PromptText is the prompt that the trainer submitted for the slot.
	PromptText string
	// TrainerVersion is the version that the trainer was at in the
	// acknowledgement, Bound the staleness bound of its row then.
	TrainerVersion uint64
	Bound          int
	Accepted       time.Time
}

// Slot returns the slot that the delivery fills.
func (d *Delivery) Slot() Slot {
	return Slot{d.Trainer, d.Sample.Step, d.Sample.Prompt, d.Sample.Index}
}

// Observation is one answer of a node that named the table revision in force.
type Observation struct {
	Node string
	// Started and Ended bound the call by the observer's clock.
	Started  time.Time
	Ended    time.Time
	Revision int64
}

// Outcomes is the history of callers.
type Outcomes []live.Outcome
