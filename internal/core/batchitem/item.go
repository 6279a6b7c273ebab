// Package batchitem is the life of one item of a batch job at the node that runs
// it: open, scoring, ended. Whether an open item waits for an engine or runs is the
// plan's to know. It has no input, output or clock.
//
// Invariants: stages only go forward, so an item is scored only once its output is
// whole, and one that has ended changes no more.
package batchitem

// Stage is how far an item has come.
type Stage uint8

// The stages, in their order; none is left backwards.
const (
	// Open: an engine makes its output, or is to make it.
	Open Stage = iota
	// Scoring: its output is whole, its score is still to come.
	Scoring
	// Ended: it has a result, or nobody wants one any more.
	Ended
)

// Item is one item.
type Item struct {
	// Output is what there is of its output.
	Output Output
	// Moves counts how often it was moved to a faster engine.
	Moves int

	stage     Stage
	completed bool
	// runFailures and scoreFailures count attempts that an engine itself failed.
	runFailures   int
	scoreFailures int
}

// Stage returns how far the item has come.
func (i *Item) Stage() Stage { return i.stage }

// Ended tells whether nothing more is done for the item.
func (i *Item) Ended() bool { return i.stage == Ended }

// Completed tells whether the item has a result with its whole output, made here
// or listed by another node, whose text is not known here.
func (i *Item) Completed() bool { return i.completed }

// Whole notes that the output is whole; the score is still to come.
func (i *Item) Whole() {
	if i.stage != Open {
		return
	}
	i.Output.whole = true
	i.stage = Scoring
}

// Complete ends the item with its whole output and returns its text.
func (i *Item) Complete() []byte {
	i.completed, i.stage = true, Ended
	return i.Output.seal()
}

// Drop ends the item without a result of this node.
func (i *Item) Drop() { i.stage = Ended }

// Listed ends the item since a result of it stands in the log.
func (i *Item) Listed() { i.completed, i.stage = true, Ended }

// RunFailed counts a run that the engine itself failed and tells whether the item
// is to be given up.
func (i *Item) RunFailed(maxAttempts int) bool {
	i.runFailures++
	return i.runFailures >= max(1, maxAttempts)
}

// ScoreFailed counts answers of a scoring service that failed the call itself and
// tells whether the item is to be given up.
func (i *Item) ScoreFailed(failures, maxAttempts int) bool {
	i.scoreFailures += failures
	return i.scoreFailures >= max(1, maxAttempts)
}
