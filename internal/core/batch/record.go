// Package batch reduces the records of one partition of the index topic, applied in order, to
// the batch jobs, the position of each result, and whether a job has ended. All readers of the
// same records reach the same state. The package performs no I/O.
//
// Invariants: the first record of a job and the first result record of an item win;
// positions are the order of winning result records and never change.
package batch

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is the outcome of an item.
type Outcome uint8

const (
	// Completed items have their complete output.
	Completed Outcome = iota + 1
	// Expired items were abandoned before their output was complete.
	Expired
)

// Span refers to Count consecutive records of the data topic from offset First, in the partition of the same number.
type Span struct {
	First int64 `msgpack:"f"`
	Count int   `msgpack:"c"`
}

// JobRecord records an accepted batch job.
type JobRecord struct {
	// ID is unique among all jobs; see QualifiedID.
	ID string `msgpack:"i"`
	// Tenant is the submitting tenant; empty for none.
	Tenant string `msgpack:"o,omitempty"`
	// Priority is that of the job's tenant, or else of its route; 0 is the highest.
	Priority int `msgpack:"pr,omitempty"`
	// Host and Path are those of the submission. They select the job's route in each
	// version of the configuration.
	Host       string `msgpack:"h"`
	Path       string `msgpack:"p"`
	Model      string `msgpack:"m"`
	MinVersion int64  `msgpack:"v"`
	Step       int64  `msgpack:"s"`
	// Wanted is the number of complete groups that the submitter waits for; zero if not specified.
	Wanted int          `msgpack:"w"`
	Items  []ItemRecord `msgpack:"t"`
	// Payloads hold one record for each item, in order.
	Payloads []Span `msgpack:"d"`
	// CarriedOverKnown is true if the node that accepted the job knew the preceding jobs; CarriedOver
	// is then the number of leading groups that are carried over from them.
	CarriedOverKnown bool `msgpack:"rk,omitempty"`
	CarriedOver      int  `msgpack:"rn,omitempty"`
	// Homes are the only regions that may serve and store the job; empty for all. They come from
	// version Config of the configuration, which the accepting node used.
	Homes  []string `msgpack:"hm,omitempty"`
	Config int64    `msgpack:"cv,omitempty"`
	// AcceptedMs is when the accepting node's clock accepted the job, in milliseconds since 1970; zero when unknown. See
	// Job.AcceptedAt.
	AcceptedMs int64 `msgpack:"at,omitempty"`
}

// QualifiedID returns the unique ID of a tenant's job. Each tenant has its own namespace;
// IDs chosen by tenants contain no slash.
func QualifiedID(tenant, id string) string {
	if tenant == "" {
		return id
	}
	return tenant + "/" + id
}

// ItemRecord is one item of a job.
type ItemRecord struct {
	ID    string `msgpack:"i"`
	Group string `msgpack:"g"`
	// Tokens is the maximum number of tokens of the prompt and the output together.
	Tokens int `msgpack:"t"`
	// Prompt is the number of tokens of the prompt; zero when unknown.
	Prompt int `msgpack:"p"`
	// Length is the expected output length in tokens; zero when unknown.
	Length int `msgpack:"l"`
}

// itemRecordOverhead is the encoded size of an ItemRecord besides its texts: a map of five entries with keys of one byte,
// the lengths of two texts, and three numbers.
const itemRecordOverhead = 16

// MinEncodedBytes returns a lower bound of the record's encoded size.
func (i ItemRecord) MinEncodedBytes() int { return itemRecordOverhead + len(i.ID) + len(i.Group) }

// ResultRecord records the outcome of one item.
type ResultRecord struct {
	Job string `msgpack:"j"`
	// Item is the item's index in its job.
	Item     int     `msgpack:"n"`
	Outcome  Outcome `msgpack:"o"`
	Versions []int64 `msgpack:"v,omitempty"`
	// Text refers to the records that hold the output.
	Text Span `msgpack:"d"`
	// TextBytes is the length of the output in bytes.
	TextBytes int `msgpack:"b"`
	// Score is the result of the item's scoring call; empty if it has none.
	Score string `msgpack:"s,omitempty"`
}

// ProgressRecord saves a part of a running item's output, so that another leader can
// continue it. Parts form a chain: each begins where its predecessor ended, and comes
// from the same run or from one that was started to continue there.
type ProgressRecord struct {
	Job  string `msgpack:"j"`
	Item int    `msgpack:"n"`
	// Chain identifies the run that produced this part, Continues the chain that the run
	// continued; empty if it started from the beginning.
	Chain     string `msgpack:"c"`
	Continues string `msgpack:"k,omitempty"`
	// From and To are the numbers of the last event before this part and in it.
	From int64 `msgpack:"f"`
	To   int64 `msgpack:"t"`
	// Versions are the weight versions of the part's events.
	Versions  []int64 `msgpack:"v"`
	Text      Span    `msgpack:"d"`
	TextBytes int     `msgpack:"b"`
	// Complete is true if the output ends with this part, which may then have no events.
	Complete bool `msgpack:"w,omitempty"`
}

// Record is one record of the index topic. Exactly one of its fields is set.
type Record struct {
	Job      *JobRecord       `msgpack:"j,omitempty"`
	Results  []ResultRecord   `msgpack:"r,omitempty"`
	Progress []ProgressRecord `msgpack:"p,omitempty"`
	// End is the ID of a job that its submitter has ended.
	End string `msgpack:"e,omitempty"`
}

// Encode returns the msgpack encoding of the record.
func (r Record) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode the index record")
	}
	return raw, nil
}

func Decode(raw []byte) (Record, error) {
	var record Record
	if err := msgpack.Unmarshal(raw, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode the index record")
	}
	return record, nil
}

// IsEmpty reports whether the record has none of the fields that this build knows.
func (r Record) IsEmpty() bool {
	return r.Job == nil && len(r.Results) == 0 && len(r.Progress) == 0 && r.End == ""
}

// FieldNames returns the comma-separated field names of an encoded record, which identify its kind; empty if it
// cannot be decoded.
func FieldNames(raw []byte) string {
	var fields map[string]msgpack.RawMessage
	if err := msgpack.Unmarshal(raw, &fields); err != nil {
		return ""
	}
	return strings.Join(slices.Sorted(maps.Keys(fields)), ",")
}

// Header is an HTTP header of an item's request.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Payload is the engine request of an item, stored as one record of the data topic.
type Payload struct {
	Path    string   `msgpack:"p"`
	Headers []Header `msgpack:"h"`
	Body    []byte   `msgpack:"b"`
	// Scoring is sent once the output is complete; nil if the item is not scored.
	Scoring *ScoringCall `msgpack:"s,omitempty"`
}

// ScoringCall is a request whose response scores an item's output.
type ScoringCall struct {
	// ID identifies the request at the scoring service.
	ID   string `msgpack:"i"`
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
	Body []byte `msgpack:"b"`
}

// Encode returns the msgpack encoding of the payload.
func (p Payload) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&p)
	if err != nil {
		return nil, errors.Wrap(err, "encode the payload")
	}
	return raw, nil
}

func DecodePayload(raw []byte) (Payload, error) {
	var payload Payload
	if err := msgpack.Unmarshal(raw, &payload); err != nil {
		return Payload{}, errors.Wrap(err, "decode the payload")
	}
	return payload, nil
}
