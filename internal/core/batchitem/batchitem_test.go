package batchitem

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func event(number, version int64) Event {
	return Event{Number: number, Data: fmt.Appendf(nil, "e%d", number), Version: version}
}

func TestOutputAcceptsEventsOnlyInOrder(t *testing.T) {
	var o Output
	assert.Equal(t, o.Add(event(1, 3), Limits{}), Accepted)
	assert.Equal(t, o.Add(event(3, 3), Limits{}), OutOfOrder)
	assert.Equal(t, o.Add(event(1, 3), Limits{}), OutOfOrder)
	assert.Equal(t, o.Add(event(2, 4), Limits{}), Accepted)
	assert.Equal(t, string(o.Text()), "e1\ne2")
	assert.DeepEqual(t, o.Versions(), []int64{3, 4})
}

func TestOutputIsResetByEventBeyondLimits(t *testing.T) {
	var old, mixed Output
	old.Add(event(1, 3), Limits{MinVersion: 3})
	assert.Equal(t, old.Add(event(2, 2), Limits{MinVersion: 3}), VersionTooOld)
	assert.Assert(t, old.Empty() && old.Last() == 0)
	mixed.Add(event(1, 3), Limits{SingleVersion: true})
	assert.Equal(t, mixed.Add(event(2, 4), Limits{SingleVersion: true}), MixedVersions)
	assert.Assert(t, mixed.Empty())
}

func TestSatisfiesChecksVersionsOfAllEvents(t *testing.T) {
	o := Restore(SavedOutput{Versions: []int64{3, 4}, Last: 2, Text: []byte("e1\ne2")})
	assert.Assert(t, o.Satisfies(Limits{MinVersion: 3}))
	assert.Assert(t, !o.Satisfies(Limits{MinVersion: 4}))
	assert.Assert(t, !o.Satisfies(Limits{SingleVersion: true}))
}

func TestStagesNeverGoBack(t *testing.T) {
	var item Item
	assert.Equal(t, item.Stage(), Open)
	item.Output.Add(event(1, 1), Limits{})
	item.StartScoring()
	assert.Equal(t, item.Stage(), Scoring)
	assert.Assert(t, item.Output.IsComplete() && !item.Completed())
	assert.Equal(t, string(item.Complete()), "e1")
	assert.Assert(t, item.Ended() && item.Completed())
	item.StartScoring()
	assert.Equal(t, item.Stage(), Ended)
}

func TestMarkedItemIsCompletedButDroppedOneIsNot(t *testing.T) {
	var dropped, marked Item
	dropped.Drop()
	marked.MarkCompleted()
	assert.Assert(t, dropped.Ended() && !dropped.Completed())
	assert.Assert(t, marked.Ended() && marked.Completed())
	assert.Assert(t, !marked.Output.IsComplete(), "output of another node's result is unknown")
}

func TestAttemptsAreLimitedPerKindOfFailure(t *testing.T) {
	var item Item
	assert.Assert(t, !item.RecordRunFailure(2))
	assert.Assert(t, item.RecordRunFailure(2))
	assert.Assert(t, !item.RecordScoringFailures(1, 2), "failed runs must not count as failed scoring calls")
	assert.Assert(t, !item.RecordScoringFailures(0, 2))
	assert.Assert(t, item.RecordScoringFailures(1, 2))
}

// Guards against saved parts that overlap or leave gaps, if some writes to the log fail.
func TestSavedPartsAddUpToTheOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Output
		var texts []string
		var savedTo, lastEvent int64
		complete, chains := false, 0
		newChain := func() string { chains++; return fmt.Sprint("chain", chains) }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "event") {
				lastEvent++
				assert.Equal(t, o.Add(event(lastEvent, 1), Limits{}), Accepted)
				continue
			}
			if !o.HasUnsaved() {
				continue
			}
			part := o.NextPart(newChain)
			if rapid.Bool().Draw(t, "taken") {
				assert.Equal(t, part.From, savedTo)
				texts, savedTo, complete = append(texts, string(part.Text)), part.To, part.Complete
				o.MarkSaved(part)
			}
		}
		o.complete = true
		if o.HasUnsaved() {
			part := o.NextPart(newChain)
			if part.To > part.From {
				texts = append(texts, string(part.Text))
			}
			savedTo, complete = part.To, part.Complete
			o.MarkSaved(part)
		}
		assert.Assert(t, complete && !o.HasUnsaved())
		assert.Equal(t, savedTo, lastEvent)
		assert.Equal(t, strings.Join(texts, "\n"), string(o.Text()))
	})
}

// Guards against an output that is reset while a part is written, and then loses its first events.
func TestMarkSavedIgnoresPartsFromBeforeReset(t *testing.T) {
	var o Output
	o.Add(event(1, 1), Limits{})
	part := o.NextPart(func() string { return "a" })
	o.Add(event(2, 0), Limits{MinVersion: 1})
	o.Add(event(1, 1), Limits{})
	o.MarkSaved(part)
	assert.Assert(t, o.HasUnsaved())
	next := o.NextPart(func() string { return "b" })
	assert.Equal(t, next.From, int64(0))
	assert.Equal(t, string(next.Text), "e1")
}

// Guards against an output that grows without end, which its engine's events are.
func TestOutputIsResetBeyondItsSize(t *testing.T) {
	events, size := Limits{MaxEvents: 3}, Limits{MaxBytes: 5}
	var long, large Output
	for number := range int64(3) {
		assert.Equal(t, long.Add(event(number+1, 1), events), Accepted)
	}
	assert.Equal(t, long.Add(event(4, 1), events), TooLong)
	assert.Assert(t, long.Empty())
	assert.Equal(t, large.Add(event(1, 1), size), Accepted)
	assert.Equal(t, large.Add(event(2, 1), size), Accepted)
	assert.Equal(t, large.Add(event(3, 1), size), TooLong)
	assert.Assert(t, large.Empty())

	restored := Restore(SavedOutput{Versions: []int64{1}, Last: 2, Text: []byte("e1\ne2")})
	assert.Equal(t, restored.Add(event(3, 1), size), TooLong)
}
