// Package batch decides, from the records of one partition read in order, which
// batch jobs exist, which result stands at which position, and which jobs have
// ended. Every reader comes to the same answer. It has no input or output.
//
// Invariants: a job is taken once, by its first record; the first result record
// of an item wins; positions are the order of winning records and never change.
package batch

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is how an item ended.
type Outcome uint8

// The outcomes of items.
const (
	// Completed items have their whole output.
	Completed Outcome = iota + 1
	// Expired items were given up.
	Expired
)

// Span names records of the data topic, in the partition of the same number.
type Span struct {
	First int64 `msgpack:"f"`
	Count int   `msgpack:"c"`
}

// JobRecord accepts a batch job.
type JobRecord struct {
	// ID is the job's name among all jobs; see QualifiedID.
	ID string `msgpack:"i"`
	// Tenant is the tenant that handed the job in; empty for none.
	Tenant string `msgpack:"o,omitempty"`
	// Priority is the job's rank, 0 first: its tenant's, or else its route's.
	Priority int `msgpack:"pr,omitempty"`
	// Host and Path are those of the call that handed the job in; they lead to
	// its route in each version of the configuration.
	Host       string       `msgpack:"h"`
	Path       string       `msgpack:"p"`
	Model      string       `msgpack:"m"`
	MinVersion int64        `msgpack:"v"`
	Step       int64        `msgpack:"s"`
	Wanted     int          `msgpack:"w"`
	Items      []ItemRecord `msgpack:"t"`
	// Payloads hold one record for each item, in order.
	Payloads []Span `msgpack:"d"`
	// ReturnedKnown is true when the node that took the job knew the jobs before it;
	// then Returned is the number of leading groups that stood in one of them.
	ReturnedKnown bool `msgpack:"rk,omitempty"`
	Returned      int  `msgpack:"rn,omitempty"`
	// Homes are the regions that alone may serve and keep the job, as the node that took it knew them from
	// the configuration of the version Config; none for all.
	Homes  []string `msgpack:"hm,omitempty"`
	Config int64    `msgpack:"cv,omitempty"`
}

// QualifiedID is the name of a tenant's job among all jobs, made of the name that the
// tenant gave it. So tenants share no names, and one finds no other's job. Names that
// tenants give hold no slash.
func QualifiedID(tenant, id string) string {
	if tenant == "" {
		return id
	}
	return tenant + "/" + id
}

// ItemRecord is one item of a job.
type ItemRecord struct {
	ID     string `msgpack:"i"`
	Group  string `msgpack:"g"`
	Tokens int    `msgpack:"t"`
	// Prompt is the number of tokens of the prompt; zero when unknown.
	Prompt int `msgpack:"p"`
	// Length is the expected output in tokens; zero when unknown.
	Length int `msgpack:"l"`
}

// ResultRecord says how one item ended.
type ResultRecord struct {
	Job string `msgpack:"j"`
	// Item is the item's index in its job.
	Item     int     `msgpack:"n"`
	Outcome  Outcome `msgpack:"o"`
	Versions []int64 `msgpack:"v,omitempty"`
	// Text holds the output in one or more records.
	Text Span `msgpack:"d"`
	// TextBytes is the length of the output.
	TextBytes int `msgpack:"b"`
	// Score is what the item's scoring call brought; empty where it has none.
	Score string `msgpack:"s,omitempty"`
}

// ProgressRecord keeps output of an item that still runs, so that another leader
// continues it. Parts form a chain: each begins where the one before ended, and
// was made by the same run or by a run that was asked to continue there.
type ProgressRecord struct {
	Job  string `msgpack:"j"`
	Item int    `msgpack:"n"`
	// Chain names the run that made this part; Continues names the chain that
	// the run took up, empty when it began from nothing.
	Chain     string `msgpack:"c"`
	Continues string `msgpack:"k,omitempty"`
	// From and To are the numbers of the last event before and in this part.
	From int64 `msgpack:"f"`
	To   int64 `msgpack:"t"`
	// Versions made the events of this part.
	Versions  []int64 `msgpack:"v"`
	Text      Span    `msgpack:"d"`
	TextBytes int     `msgpack:"b"`
	// Whole is true when no event follows; such a part may hold no event itself.
	Whole bool `msgpack:"w,omitempty"`
}

// Record is one record of the index topic: one of its fields is set.
type Record struct {
	Job      *JobRecord       `msgpack:"j,omitempty"`
	Results  []ResultRecord   `msgpack:"r,omitempty"`
	Progress []ProgressRecord `msgpack:"p,omitempty"`
	// End is the ID of a job that its submitter ended.
	End string `msgpack:"e,omitempty"`
}

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode the index record")
	}
	return raw, nil
}

// Decode reads a record's bytes.
func Decode(raw []byte) (Record, error) {
	var record Record
	if err := msgpack.Unmarshal(raw, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode the index record")
	}
	return record, nil
}

// IsEmpty reports whether the record says nothing that this build knows.
func (r Record) IsEmpty() bool {
	return r.Job == nil && len(r.Results) == 0 && len(r.Progress) == 0 && r.End == ""
}

// KindOf returns the names of a record's fields, which tell its kind.
func KindOf(raw []byte) string {
	var fields map[string]msgpack.RawMessage
	if err := msgpack.Unmarshal(raw, &fields); err != nil {
		return ""
	}
	return strings.Join(slices.Sorted(maps.Keys(fields)), ",")
}

// Header is one header of an item.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Payload is what is sent to an engine for an item: one record of the data topic.
type Payload struct {
	Path    string   `msgpack:"p"`
	Headers []Header `msgpack:"h"`
	Body    []byte   `msgpack:"b"`
	// Scoring is made once the output is whole; nil where the item has no score.
	Scoring *ScoringCall `msgpack:"s,omitempty"`
}

// ScoringCall is a request whose answer scores an item's output.
type ScoringCall struct {
	// ID is the request's name at the scoring service.
	ID   string `msgpack:"i"`
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
	Body []byte `msgpack:"b"`
}

// Encode returns the payload's bytes.
func (p Payload) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&p)
	if err != nil {
		return nil, errors.Wrap(err, "encode the payload")
	}
	return raw, nil
}

// DecodePayload reads a payload's bytes.
func DecodePayload(raw []byte) (Payload, error) {
	var payload Payload
	if err := msgpack.Unmarshal(raw, &payload); err != nil {
		return Payload{}, errors.Wrap(err, "decode the payload")
	}
	return payload, nil
}
