// Package batchitem is the life of one item of a batch job at the node that runs
// it: waiting for an engine, running, scoring, ended. It has no input, output or
// clock.
//
// Invariants: an item whose output is whole never runs again; its scoring call is
// made only then; an item that has ended changes no more.
package batchitem

// Stage is how far an item has come.
type Stage uint8

// The stages, in their order. A run that ends early leads back to Waiting.
const (
	// Waiting: no engine runs it.
	Waiting Stage = iota
	// Running: an engine makes its output.
	Running
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

// Queue notes that the item waits for an engine.
func (i *Item) Queue() { i.advance(Waiting) }

// Start notes that an engine runs the item.
func (i *Item) Start() { i.advance(Running) }

// Whole notes that the output is whole; the score is still to come.
func (i *Item) Whole() {
	i.Output.whole = true
	i.advance(Scoring)
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

func (i *Item) advance(stage Stage) {
	if i.stage != Ended {
		i.stage = stage
	}
}

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
