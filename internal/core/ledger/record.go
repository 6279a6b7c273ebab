package ledger

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// StreamPrefix is followed by the trainer's service name in a ledger's stream name.
const StreamPrefix = "steps/"

// StreamName returns the name of a trainer's ledger stream.
func StreamName(trainer string) string { return StreamPrefix + trainer }

// Record kinds of a ledger stream, beside those of the fence.
const (
	KindStepSubmitted    logrecord.Kind = "step-submitted"
	KindSampleFilled     logrecord.Kind = "sample-filled"
	KindSamplesDiscarded logrecord.Kind = "samples-discarded"
	KindDelivered        logrecord.Kind = "delivered"
	KindAcknowledged     logrecord.Kind = "acknowledged"
	KindStepAbandoned    logrecord.Kind = "step-abandoned"
)

// Prompt is one prompt of a step.
type Prompt struct {
	Group string `msgpack:"g,omitempty"`
	Text  string `msgpack:"t"`
}

// StepSubmitted is the body of KindStepSubmitted. The state keeps only the
// record's offset and the counts, so that snapshots hold no prompt text.
type StepSubmitted struct {
	Step string `msgpack:"s"`
	// Fingerprint identifies the request, to tell a repeat from another one.
	Fingerprint      uint64   `msgpack:"f"`
	Prompts          []Prompt `msgpack:"p"`
	SamplesPerPrompt int      `msgpack:"n"`
	MaxTokens        int      `msgpack:"mt"`
	Temperature      float64  `msgpack:"t,omitempty"`
	Seed             int64    `msgpack:"sd,omitempty"`
	TrainerVersion   uint64   `msgpack:"v"`
}

// SampleFilled is the body of KindSampleFilled: a finished, scored attempt.
type SampleFilled struct {
	Sample SampleKey `msgpack:"k"`
	// Versions must cover [0, Tokens) without a gap, each with a version above zero.
	Versions     []api.VersionSpan `msgpack:"v"`
	Tokens       int               `msgpack:"n"`
	Score        float64           `msgpack:"sc"`
	FinishReason string            `msgpack:"fr"`
	Text         string            `msgpack:"t"`
}

// Terms are the facts under which a record's freshness is judged.
type Terms struct {
	// TrainerVersion is the weight version that the trainer said it is at.
	TrainerVersion uint64 `msgpack:"v"`
	// Bound is the staleness bound of the trainer's row, in versions.
	Bound int `msgpack:"b"`
	// TableRevision is the revision that Bound was read from.
	TableRevision int64 `msgpack:"r"`
}

// DiscardReason tells why samples were discarded.
type DiscardReason string

// DiscardStale: the samples are older than the bound at the trainer's version.
const DiscardStale DiscardReason = "stale"

// SamplesDiscarded is the body of KindSamplesDiscarded.
type SamplesDiscarded struct {
	Samples []SampleKey   `msgpack:"k"`
	Reason  DiscardReason `msgpack:"rs"`
	Terms   Terms         `msgpack:"t"`
}

// Delivered is the body of KindDelivered. Its token is the record's offset + 1.
type Delivered struct {
	Samples []SampleKey `msgpack:"k"`
	Terms   Terms       `msgpack:"t"`
}

// Acknowledged is the body of KindAcknowledged.
type Acknowledged struct {
	Token   int64       `msgpack:"o"`
	Samples []SampleKey `msgpack:"k"`
	Terms   Terms       `msgpack:"t"`
}

// StepAbandoned is the body of KindStepAbandoned: the trainer wants no more
// samples of the step.
type StepAbandoned struct {
	Step string `msgpack:"s"`
}

// Fresh reports whether a sample whose oldest span has the given version may
// be used by a trainer at trainerVersion. Newer spans than the trainer's own
// version are fresh.
func Fresh(oldest, trainerVersion uint64, bound int) bool {
	if oldest >= trainerVersion {
		return true
	}
	return bound >= 0 && trainerVersion-oldest <= uint64(bound)
}

// OldestVersion returns the lowest version of the spans, and false unless they
// cover [0, tokens) in order, without a gap and with a named version each.
func OldestVersion(spans []api.VersionSpan, tokens int) (uint64, bool) {
	if tokens <= 0 || len(spans) == 0 {
		return 0, false
	}
	next := 0
	oldest := spans[0].Version
	for _, span := range spans {
		if span.From != next || span.To <= span.From || span.Version == 0 {
			return 0, false
		}
		next = span.To
		oldest = min(oldest, span.Version)
	}
	return oldest, next == tokens
}
