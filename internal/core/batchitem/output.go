package batchitem

import (
	"bytes"
	"slices"
)

// Event is one event of an item's output.
type Event struct {
	// Number counts the events of an item from 1 without gaps.
	Number int64
	Data   []byte
	// Version is the weight version that made it.
	Version int64
}

// Limits bound the weight versions that may make an item's output.
type Limits struct {
	// MinVersion is the oldest version allowed.
	MinVersion int64
	// Single is true when one version must make all of it.
	Single bool
}

// Verdict says whether an event was taken.
type Verdict uint8

// The verdicts.
const (
	// Taken: the event is part of the output now.
	Taken Verdict = iota
	// OutOfOrder: an event is missing or stands twice; the output is unchanged.
	OutOfOrder
	// TooOld: weights older than allowed made it; the output begins anew.
	TooOld
	// SecondVersion: another version made the events before it, and the output
	// must be of one; it begins anew.
	SecondVersion
)

// Output is what an item has of its output.
type Output struct {
	// events holds the data of events; that of several may stand in one, separated
	// by line feeds.
	events [][]byte
	// last is the number of the last event.
	last     int64
	versions []int64
	// whole is true once events are the whole output.
	whole bool

	// chain names this sequence of runs in the log, continues the one that it
	// took up there; both are empty until the first write.
	chain     string
	continues string
	// keptTo is the last event that is in the log, keptEvents counts events up to
	// it; keptWhole is true once the log says that the output is whole.
	keptTo     int64
	keptEvents int
	keptWhole  bool
}

// Kept is an output as another leader left it in the log.
type Kept struct {
	Chain    string
	Last     int64
	Versions []int64
	Text     []byte
	Whole    bool
}

// Restore returns the output that another leader left.
func Restore(kept Kept) Output {
	return Output{
		events: [][]byte{kept.Text}, last: kept.Last, versions: slices.Clone(kept.Versions), whole: kept.Whole,
		continues: kept.Chain, keptTo: kept.Last, keptEvents: 1, keptWhole: kept.Whole,
	}
}

// Add takes the next event unless it is out of order or the limits forbid it.
func (o *Output) Add(event Event, limits Limits) Verdict {
	switch {
	case o.last != 0 && event.Number != o.last+1:
		return OutOfOrder
	case event.Version < limits.MinVersion:
		*o = Output{}
		return TooOld
	case limits.Single && len(o.versions) > 0 && event.Version != o.versions[0]:
		*o = Output{}
		return SecondVersion
	}
	o.events = append(o.events, event.Data)
	o.last = event.Number
	if !slices.Contains(o.versions, event.Version) {
		o.versions = append(o.versions, event.Version)
	}
	return Taken
}

// Last is the number of the last event; zero when there is none.
func (o *Output) Last() int64 { return o.last }

// Empty tells whether there is no event.
func (o *Output) Empty() bool { return len(o.events) == 0 }

// IsWhole tells whether nothing is missing.
func (o *Output) IsWhole() bool { return o.whole }

// Versions are the weight versions that made the events.
func (o *Output) Versions() []int64 { return o.versions }

// Text is the data of all events, separated by line feeds.
func (o *Output) Text() []byte { return bytes.Join(o.events, []byte{'\n'}) }

// seal makes one piece of many. Nothing is written to the log any more.
func (o *Output) seal() []byte {
	o.whole = true
	text := o.Text()
	o.events = [][]byte{text}
	return text
}

// Fits tells whether all versions are within the limits.
func (o *Output) Fits(limits Limits) bool {
	for _, version := range o.versions {
		if version < limits.MinVersion {
			return false
		}
	}
	return !limits.Single || len(o.versions) <= 1
}

// Detached returns the output without its place in the log, for another job.
func (o *Output) Detached() Output {
	return Output{events: o.events, last: o.last, versions: o.versions, whole: o.whole}
}

// Part is what an output has beyond what is in the log.
type Part struct {
	Chain     string
	Continues string
	// From and To are the numbers of the last event before and in the part.
	From     int64
	To       int64
	Versions []int64
	Text     []byte
	// Whole is true when nothing follows the part.
	Whole bool
	// events is the number of pieces up to its end.
	events int
}

// Unkept tells whether the log lacks something of the output.
func (o *Output) Unkept() bool { return o.last != o.keptTo || o.whole && !o.keptWhole }

// NextPart returns what the log lacks; newChain names a chain if there is none yet.
func (o *Output) NextPart(newChain func() string) Part {
	if o.chain == "" {
		o.chain = newChain()
	}
	return Part{
		Chain: o.chain, Continues: o.continues, From: o.keptTo, To: o.last,
		Versions: slices.Clone(o.versions), Whole: o.whole,
		Text: bytes.Join(o.events[o.keptEvents:], []byte{'\n'}), events: len(o.events),
	}
}

// MarkKept notes that a part is in the log, unless the output began anew meanwhile.
func (o *Output) MarkKept(part Part) {
	if o.chain != part.Chain {
		return
	}
	o.keptTo, o.keptEvents, o.keptWhole = part.To, part.events, part.Whole
	o.continues = ""
}
