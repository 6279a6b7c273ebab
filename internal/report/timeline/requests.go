package timeline

import (
	"encoding/json"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// Answered labels a completed request or attempt. Other requests are labelled with their error code.
const Answered = "answered"

// Labels of attempts that were not answered.
const (
	TryNext    = "try_next"
	GiveUp     = "give_up"
	TryNotSent = "not sent"

	// heldBackNone is the value of the log field "held_back" of an attempt that was sent.
	heldBackNone = "none"
	// unsetKind is the value of the log field "kind" of a request that succeeded.
	unsetKind = ""
)

type requestRecord struct {
	Kind string `json:"kind"`
}

type tryRecord struct {
	Verdict  string `json:"verdict"`
	HeldBack string `json:"held_back"`
}

var errorCodes = codesOf(errkind.All())

func codesOf(kinds []errkind.Kind) map[string]bool {
	codes := map[string]bool{}
	for _, kind := range kinds {
		codes[kind.Response().Code] = true
	}
	return codes
}

// addRequestEnded counts successful requests only: an error response has its own line, "request refused".
func (b *Builder) addRequestEnded(line header, raw []byte) error {
	var record requestRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	if record.Kind == unsetKind {
		b.timeline.Requests.add(line.Time, Answered)
		b.progress.add(line.Time)
	}
	return nil
}

func (b *Builder) addRequestRefused(line header, raw []byte) error {
	var record requestRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	kind := record.Kind
	if !errorCodes[kind] {
		kind = otherLabel
	}
	b.timeline.Requests.add(line.Time, kind)
	return nil
}

func (b *Builder) addTry(line header, raw []byte) error {
	var record tryRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	b.timeline.Tries.add(line.Time, record.outcome())
	if record.Verdict == Answered {
		b.progress.add(line.Time)
	}
	return nil
}

func (r tryRecord) outcome() string {
	switch {
	case r.HeldBack != "" && r.HeldBack != heldBackNone:
		return TryNotSent
	case r.Verdict == Answered, r.Verdict == TryNext, r.Verdict == GiveUp:
		return r.Verdict
	default:
		return otherLabel
	}
}
