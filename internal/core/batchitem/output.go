package batchitem

import (
	"bytes"
	"slices"
)

// Event is one event of an item's output.
type Event struct {
	// Number is the event's sequence number within the item, from 1 and without gaps.
	Number int64
	Data   []byte
	// Version is the weight version that generated it.
	Version int64
}

// Limits restrict an item's output.
type Limits struct {
	// MinVersion is the oldest version allowed.
	MinVersion int64
	// SingleVersion is true if a single version must generate the whole output.
	SingleVersion bool
	// MaxEvents and MaxBytes bound the size of the output; zero for no limit.
	MaxEvents int64
	MaxBytes  int
}

// Verdict is the outcome of Output.Add.
type Verdict uint8

const (
	// Accepted: the event was appended to the output.
	Accepted Verdict = iota
	// OutOfOrder: the event is a duplicate, or events before it are missing; the output is unchanged.
	OutOfOrder
	// VersionTooOld: the event is from a version below Limits.MinVersion; the output was reset.
	VersionTooOld
	// MixedVersions: the event is from another version than its predecessors, although
	// Limits.SingleVersion is set; the output was reset.
	MixedVersions
	// TooLong: the output is longer than any of its item can be; the output was reset.
	TooLong
)

// Output is the output of an item so far, together with the position up to which the log has it.
type Output struct {
	// chunks hold the data of one or more events each, separated by line feeds.
	chunks [][]byte
	// bytes is the size of chunks, last the number of the last event.
	bytes    int
	last     int64
	versions []int64
	// complete is true once no further events follow.
	complete bool

	// chain identifies the parts of this output in the log; empty until the first part. continues is the
	// chain from which the output was restored; empty if there is none or a part of this chain was saved.
	chain     string
	continues string
	// savedTo is the number of the last event in the log, savedChunks the number of chunks up to it;
	// savedComplete is true once the output is marked as complete in the log.
	savedTo       int64
	savedChunks   int
	savedComplete bool
}

// SavedOutput is an output as saved in the log by a previous leader.
type SavedOutput struct {
	Chain    string
	Last     int64
	Versions []int64
	Text     []byte
	Complete bool
}

// Restore returns the output that a previous leader saved.
func Restore(saved SavedOutput) Output {
	return Output{
		chunks: [][]byte{saved.Text}, bytes: len(saved.Text), last: saved.Last, versions: slices.Clone(saved.Versions), complete: saved.Complete,
		continues: saved.Chain, savedTo: saved.Last, savedChunks: 1, savedComplete: saved.Complete,
	}
}

// Add appends the next event, unless it is out of order or violates the limits. The first event of an empty output
// may have any number.
func (o *Output) Add(event Event, limits Limits) Verdict {
	switch {
	case o.last != 0 && event.Number != o.last+1:
		return OutOfOrder
	case event.Version < limits.MinVersion:
		*o = Output{}
		return VersionTooOld
	case limits.SingleVersion && len(o.versions) > 0 && event.Version != o.versions[0]:
		*o = Output{}
		return MixedVersions
	case limits.MaxEvents > 0 && event.Number > limits.MaxEvents, limits.MaxBytes > 0 && o.bytes+len(event.Data) > limits.MaxBytes:
		*o = Output{}
		return TooLong
	}
	o.chunks = append(o.chunks, event.Data)
	o.bytes += len(event.Data)
	o.last = event.Number
	if !slices.Contains(o.versions, event.Version) {
		o.versions = append(o.versions, event.Version)
	}
	return Accepted
}

// Last returns the number of the last event; zero if there is none.
func (o *Output) Last() int64 { return o.last }

// Empty reports whether there are no events.
func (o *Output) Empty() bool { return len(o.chunks) == 0 }

func (o *Output) IsComplete() bool { return o.complete }

// Versions returns the weight versions of the events, in order of first use.
func (o *Output) Versions() []int64 { return o.versions }

// Text returns the data of all events, separated by line feeds.
func (o *Output) Text() []byte { return bytes.Join(o.chunks, []byte{'\n'}) }

// finish marks the output as complete, merges its chunks and returns the text. NextPart must not be called afterwards.
func (o *Output) finish() []byte {
	o.complete = true
	text := o.Text()
	o.chunks = [][]byte{text}
	return text
}

// Satisfies reports whether the versions of all events are within the limits.
func (o *Output) Satisfies(limits Limits) bool {
	for _, version := range o.versions {
		if version < limits.MinVersion {
			return false
		}
	}
	return !limits.SingleVersion || len(o.versions) <= 1
}

// Detached returns the output for use in another job: without its chain and position in the log.
func (o *Output) Detached() Output {
	return Output{chunks: o.chunks, bytes: o.bytes, last: o.last, versions: o.versions, complete: o.complete}
}

// Part is the part of an output that is not in the log yet.
type Part struct {
	Chain     string
	Continues string
	// From and To are the numbers of the last event before the part and in it.
	From     int64
	To       int64
	Versions []int64
	Text     []byte
	// Complete is true if the output ends with this part.
	Complete bool
	// chunks is the number of the output's chunks up to the end of the part.
	chunks int
}

// HasUnsaved reports whether part of the output, or its completion, is not in the log yet.
func (o *Output) HasUnsaved() bool { return o.last != o.savedTo || o.complete && !o.savedComplete }

// NextPart returns the part that is not in the log yet; newChain generates the chain's ID before the first part.
func (o *Output) NextPart(newChain func() string) Part {
	if o.chain == "" {
		o.chain = newChain()
	}
	return Part{
		Chain: o.chain, Continues: o.continues, From: o.savedTo, To: o.last,
		Versions: slices.Clone(o.versions), Complete: o.complete,
		Text: bytes.Join(o.chunks[o.savedChunks:], []byte{'\n'}), chunks: len(o.chunks),
	}
}

// MarkSaved records that a part is in the log, unless the output was reset since NextPart.
func (o *Output) MarkSaved(part Part) {
	if o.chain != part.Chain {
		return
	}
	o.savedTo, o.savedChunks, o.savedComplete = part.To, part.chunks, part.Complete
	o.continues = ""
}
