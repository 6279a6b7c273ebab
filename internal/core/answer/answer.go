// Package answer assembles the messages of a request's answer streams into one
// ordered token stream. A stream may break and be re-attached or be continued by a
// later attempt, so the same token may arrive more than once. The package has no
// input, output or clock.
//
// Invariant: an Assembler returns each token index exactly once, in order,
// and only tokens of the current attempt, each with the weight version that
// produced it.
package answer

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/message"
)

// ErrMissingVersion is returned for tokens without a weight version.
var ErrMissingVersion = errors.New("answer: tokens without a weight version")

// ErrNegativeIndex is returned for a message with a negative token index.
var ErrNegativeIndex = errors.New("answer: negative token index")

// GapError is returned when tokens are missing before a message: the receiver
// must attach to the stream again from Want.
type GapError struct {
	// Want is the index of the first missing token, Got the message's first.
	Want, Got int
}

// Error implements the error interface.
func (e *GapError) Error() string {
	return fmt.Sprintf("answer: tokens %d to %d are missing", e.Want, e.Got-1)
}

// ShortError is returned when a message finishes the answer at fewer tokens than were
// already returned.
type ShortError struct {
	// Have is the number of tokens returned so far, Finished the length according to the message.
	Have, Finished int
}

// Error implements the error interface.
func (e *ShortError) Error() string {
	return fmt.Sprintf("answer: finished at %d tokens after %d were delivered", e.Finished, e.Have)
}

// Run is a sequence of new tokens that one weight version produced. Tokens shares its
// memory with the message.
type Run struct {
	FirstToken int
	Tokens     []string
	Version    uint64
}

// Assembler builds one answer. The zero value is ready for attempt 0; call
// StartAttempt before the first message. It is not safe for concurrent use.
type Assembler struct {
	attempt      uint32
	next         int
	spans        []api.VersionSpan
	finished     bool
	finishReason string
	cachedTokens int
}

// StartAttempt sets the current attempt: messages of other attempts are dropped from
// now on. Attempts only increase; a lower number is ignored.
func (a *Assembler) StartAttempt(attempt uint32) {
	a.attempt = max(a.attempt, attempt)
}

// Accept applies one message and returns its new tokens, which may be none. An
// error, which is a *GapError, *ShortError, ErrMissingVersion or ErrNegativeIndex,
// leaves the assembler unchanged.
func (a *Assembler) Accept(progress *message.Progress) (Run, error) {
	if a.finished || progress.Attempt != a.attempt {
		return Run{}, nil
	}
	if progress.FirstToken < 0 {
		return Run{}, ErrNegativeIndex
	}
	if progress.FirstToken > a.next {
		return Run{}, &GapError{Want: a.next, Got: progress.FirstToken}
	}
	end := progress.FirstToken + len(progress.Tokens)
	if progress.Finished && end < a.next {
		return Run{}, &ShortError{Have: a.next, Finished: end}
	}
	if end > a.next && progress.Version == 0 {
		return Run{}, ErrMissingVersion
	}
	run := a.advance(progress, end)
	a.recordEnd(progress)
	return run, nil
}

// advance appends the message's tokens up to end that are new, and returns them.
func (a *Assembler) advance(progress *message.Progress, end int) Run {
	if end <= a.next {
		return Run{}
	}
	run := Run{
		FirstToken: a.next,
		Tokens:     progress.Tokens[a.next-progress.FirstToken:],
		Version:    progress.Version,
	}
	a.extendSpans(progress.Version, a.next, end)
	a.next = end
	return run
}

func (a *Assembler) extendSpans(version uint64, from, to int) {
	last := len(a.spans) - 1
	if last >= 0 && a.spans[last].Version == version {
		a.spans[last].To = to
		return
	}
	a.spans = append(a.spans, api.VersionSpan{Version: version, From: from, To: to})
}

func (a *Assembler) recordEnd(progress *message.Progress) {
	// The first count is kept: the prompts of later attempts include tokens of the
	// answer.
	if a.cachedTokens == 0 {
		a.cachedTokens = progress.CachedTokens
	}
	if progress.Finished {
		a.finished = true
		a.finishReason = progress.FinishReason
	}
}

// FinishLength is the finish reason of an answer that reached its token limit.
const FinishLength = "length"

// CompleteAt finishes an answer that has the requested number of tokens, even if
// the final message was lost, and reports whether the answer is complete.
func (a *Assembler) CompleteAt(maxTokens int) bool {
	if !a.finished && a.next >= maxTokens {
		a.finished = true
		a.finishReason = FinishLength
	}
	return a.finished
}

// Next returns the index of the next token, which is the number of returned
// tokens.
func (a *Assembler) Next() int { return a.next }

// Finished reports whether the answer is complete.
func (a *Assembler) Finished() bool { return a.finished }

// FinishReason returns the engine's reason; empty until Finished.
func (a *Assembler) FinishReason() string { return a.finishReason }

// CachedTokens returns the prompt tokens that came from a prefix cache.
func (a *Assembler) CachedTokens() int { return a.cachedTokens }

// Versions returns a copy of the spans so far. They cover [0, Next()) without a
// gap, and adjacent ones differ in version.
func (a *Assembler) Versions() []api.VersionSpan {
	return append([]api.VersionSpan(nil), a.spans...)
}
