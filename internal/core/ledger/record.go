package ledger

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// StreamPrefix is the prefix of ledger stream names; the trainer's service name
// follows.
const StreamPrefix = "steps/"

// StreamName returns the ledger stream name of a trainer.
func StreamName(trainer string) string { return StreamPrefix + trainer }

// Record kinds of a ledger stream, in addition to those of logrecord.Fence.
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

// StepSubmitted is the body of KindStepSubmitted. Snapshots don't contain the
// prompts, only the offset of this record.
type StepSubmitted struct {
	Step string `msgpack:"s"`
	// Fingerprint identifies the request, to distinguish a repeat from a different
	// request with the same ID.
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
	// Versions must cover [0, Tokens) in order and without gaps; versions are positive.
	Versions     []api.VersionSpan `msgpack:"v"`
	Tokens       int               `msgpack:"n"`
	Score        float64           `msgpack:"sc"`
	FinishReason string            `msgpack:"fr"`
	Text         string            `msgpack:"t"`
}

// FreshnessTerms are the inputs of the freshness check of a record's samples.
type FreshnessTerms struct {
	// TrainerVersion is the weight version reported by the trainer.
	TrainerVersion uint64 `msgpack:"v"`
	// Bound is the staleness bound of the trainer's row, in versions.
	Bound int `msgpack:"b"`
	// TableRevision is the policy table revision from which Bound was read.
	TableRevision int64 `msgpack:"r"`
}

// DiscardReason is the reason for which samples were discarded.
type DiscardReason string

// DiscardStale means that the samples lag behind the trainer's version by more than
// the bound.
const DiscardStale DiscardReason = "stale"

// SamplesDiscarded is the body of KindSamplesDiscarded.
type SamplesDiscarded struct {
	Samples []SampleKey    `msgpack:"k"`
	Reason  DiscardReason  `msgpack:"rs"`
	Terms   FreshnessTerms `msgpack:"t"`
}

// Delivered is the body of KindDelivered. TokenOf gives its token.
type Delivered struct {
	Samples []SampleKey    `msgpack:"k"`
	Terms   FreshnessTerms `msgpack:"t"`
}

// Acknowledged is the body of KindAcknowledged.
type Acknowledged struct {
	Token   int64          `msgpack:"o"`
	Samples []SampleKey    `msgpack:"k"`
	Terms   FreshnessTerms `msgpack:"t"`
}

// StepAbandoned is the body of KindStepAbandoned: the trainer needs no more samples
// of the step.
type StepAbandoned struct {
	Step string `msgpack:"s"`
}

// Fresh reports whether a sample whose oldest span has version oldest is within the
// staleness bound, in versions, at trainerVersion. Versions newer than
// trainerVersion are fresh under any bound.
func Fresh(oldest, trainerVersion uint64, bound int) bool {
	if oldest >= trainerVersion {
		return true
	}
	return bound >= 0 && trainerVersion-oldest <= uint64(bound)
}

// OldestVersion returns the lowest version of the spans. It returns false unless the
// spans cover [0, tokens) in order and without gaps, with positive versions.
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
