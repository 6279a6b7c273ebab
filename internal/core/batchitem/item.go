// Package batchitem implements the life cycle of a batch job's item at the node that runs it:
// open, scoring, ended. Whether an open item waits or runs is tracked by package batchplan. The
// package performs no I/O and reads no clock.
//
// Invariants: stages never go back, so an item is scored only once its output is complete, and an
// ended item never changes.
package batchitem

import "time"

// Stage is a stage in the life cycle of an item.
type Stage uint8

// The stages, in order.
const (
	// Open items wait for an engine or run.
	Open Stage = iota
	// Scoring items have their complete output and wait for its score.
	Scoring
	// Ended items have a result or were dropped.
	Ended
)

// Item is the state of an item.
type Item struct {
	// Output is the output so far.
	Output Output
	// Moves is the number of moves away from slow or draining engines, MovesToFast of those to the fast class.
	Moves       int
	MovesToFast int
	// IdleSince is when the output was restored or last grew; zero if there is none.
	IdleSince time.Time
	// WaitingSince is when the item was first queued after its latest event; zero if it has had one since.
	WaitingSince time.Time

	stage     Stage
	completed bool
	// runFailures counts failures caused by the engine, scoreFailures those caused by the scoring service.
	runFailures   int
	scoreFailures int
}

func (i *Item) Stage() Stage { return i.stage }

// Ended reports whether the item has reached its last stage.
func (i *Item) Ended() bool { return i.stage == Ended }

// Completed reports whether the item has a result with its complete output: from this node, or
// recorded in the log by another node, in which case this node's Output may lack events.
func (i *Item) Completed() bool { return i.completed }

// StartScoring marks the output as complete and moves an open item to Scoring.
func (i *Item) StartScoring() {
	if i.stage != Open {
		return
	}
	i.Output.complete = true
	i.stage = Scoring
}

// Complete ends the item with a complete output and returns its text.
func (i *Item) Complete() []byte {
	i.completed, i.stage = true, Ended
	return i.Output.finish()
}

// Drop ends the item without a result from this node.
func (i *Item) Drop() { i.stage = Ended }

// MarkCompleted ends the item because the log has a result for it.
func (i *Item) MarkCompleted() { i.completed, i.stage = true, Ended }

// RecordRunFailure counts a run that failed because of the engine, and reports whether the item has no
// attempts left.
func (i *Item) RecordRunFailure(maxAttempts int) bool {
	i.runFailures++
	return i.runFailures >= max(1, maxAttempts)
}

// RecordScoringFailures counts scoring calls that failed because of the scoring service, and reports whether
// the item has no attempts left.
func (i *Item) RecordScoringFailures(failures, maxAttempts int) bool {
	i.scoreFailures += failures
	return i.scoreFailures >= max(1, maxAttempts)
}
