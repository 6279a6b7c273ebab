// Package history checks recorded histories of concurrent runs against the system's invariants. A checker
// takes what callers, trainers, operators and engines recorded and returns all violations. It does not use
// counters of the daemons under test.
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

// Violation is one violated invariant.
type Violation struct {
	// Rule is one of the Rule constants.
	Rule    string
	Message string
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Rule + ": " + v.Message }

// Invariants that the checkers report.
const (
	RuleComplete       = "complete response"
	RuleNotInterrupted = "planned stop interrupts no call"
	RuleNotExecuted    = "refusal not executed"
	RuleAtMostOnce     = "at most once"
	RuleExactlyOnce    = "exactly once delivery"
	RuleStaleness      = "staleness bound"
	RuleProvenance     = "version provenance"
	RuleDrain          = "engine drain"
	RuleMonotonic      = "configuration never reverts"
	RuleConvergence    = "configuration converges"
)

func violation(rule, format string, arguments ...any) Violation {
	return Violation{Rule: rule, Message: fmt.Sprintf(format, arguments...)}
}

// Report joins violations into one message; it is empty when there are none.
func Report(violations []Violation) string {
	lines := make([]string, 0, len(violations))
	for _, found := range violations {
		lines = append(lines, found.String())
	}
	return strings.Join(lines, "\n")
}

// Execution is one request that an engine started.
type Execution struct {
	Engine      string
	Incarnation string
	engine.RequestHistory
}

// Executions flattens the histories of engines. Of several histories of one engine process, the longest counts.
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

// PromptHash returns the hash that identifies a prompt in engine histories.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Slot identifies one sample that a trainer requested.
type Slot struct {
	Trainer string
	Step    string
	Prompt  int
	Index   int
}

func (s Slot) String() string {
	return fmt.Sprintf("%s/%s[%d][%d]", s.Trainer, s.Step, s.Prompt, s.Index)
}

// Delivery is one sample whose acknowledgement the service accepted, as recorded by the trainer.
type Delivery struct {
	Trainer string
	Sample  api.Sample
	// PromptText is the prompt that the trainer submitted for the slot.
	PromptText string
	// TrainerVersion is the trainer's version in the acknowledgement, StalenessBound its staleness bound at that time.
	TrainerVersion uint64
	StalenessBound int
	Accepted       time.Time
}

// Slot returns the slot that the delivery fills.
func (d *Delivery) Slot() Slot {
	return Slot{d.Trainer, d.Sample.Step, d.Sample.Prompt, d.Sample.Index}
}

// Observation is a node's response that named its table revision in force.
type Observation struct {
	Node string
	// Started and Ended are the times of the call by the observer's clock.
	Started  time.Time
	Ended    time.Time
	Revision int64
}

// Outcomes is the history of callers.
type Outcomes []live.Outcome
