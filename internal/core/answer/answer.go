// Package answer puts the messages of a request's answer streams together into
// one ordered token stream. Streams break, are re-attached and are continued
// under a later attempt; the same token may arrive more than once. The package
// has no input or output and reads no clock.
//
// Invariant: an Assembler hands out each token index exactly once, in order,
// and only tokens of the attempt in force, each with the weight version that
// produced it.
package answer

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/message"
)

// ErrUnnamedVersion is returned for tokens that name no weight version.
var ErrUnnamedVersion = errors.New("answer: tokens without a weight version")

// ErrNegativeIndex is returned for a message that starts before the answer.
var ErrNegativeIndex = errors.New("answer: negative token index")

// GapError is returned when tokens are missing before a message: the receiver
// has to attach to the stream again, from Want on.
type GapError struct {
	// Want is the index of the first missing token, Got the message's first.
	Want, Got int
}

// Error implements the error interface.
func (e *GapError) Error() string {
	return fmt.Sprintf("answer: tokens %d to %d are missing", e.Want, e.Got-1)
}

// ShortError is returned when a stream says that it finished before a token
// that the same attempt already delivered.
type ShortError struct {
	// Have is the number of tokens delivered, Finished the length claimed.
	Have, Finished int
}

// Error implements the error interface.
func (e *ShortError) Error() string {
	return fmt.Sprintf("answer: finished at %d tokens after %d were delivered", e.Finished, e.Have)
}

// Run is a run of new tokens in order, under one version. Tokens shares its
// memory with the message that it came from.
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

// StartAttempt makes the attempt the one in force: messages of all others are
// dropped from now on. Attempts only rise; a lower number is ignored.
func (a *Assembler) StartAttempt(attempt uint32) {
	a.attempt = max(a.attempt, attempt)
}

// Accept takes one message and returns the tokens in it that are new; an empty
// run when there are none. An error leaves the assembler as it was:
// *GapError, *ShortError, ErrUnnamedVersion or ErrNegativeIndex.
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
		return Run{}, ErrUnnamedVersion
	}
	run := a.take(progress, end)
	a.note(progress)
	return run, nil
}

// take moves the stream to end and returns the tokens from where it stood.
func (a *Assembler) take(progress *message.Progress, end int) Run {
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

func (a *Assembler) note(progress *message.Progress) {
	// The engine of the first attempt tells how much of the prompt was cached;
	// later ones would count tokens of the answer as part of the prompt.
	if a.cachedTokens == 0 {
		a.cachedTokens = progress.CachedTokens
	}
	if progress.Finished {
		a.finished = true
		a.finishReason = progress.FinishReason
	}
}

// FinishLength is the finish reason of an answer that reached its bound.
const FinishLength = "length"

// CompleteAt ends an answer that already has as many tokens as were asked for:
// it is whole even when the message that would say so was lost. It reports
// whether the answer is whole.
func (a *Assembler) CompleteAt(maxTokens int) bool {
	if !a.finished && a.next >= maxTokens {
		a.finished = true
		a.finishReason = FinishLength
	}
	return a.finished
}

// Next returns the index of the next token wanted, which is the number of
// tokens handed out.
func (a *Assembler) Next() int { return a.next }

// Finished reports whether the answer is whole.
func (a *Assembler) Finished() bool { return a.finished }

// FinishReason returns the engine's reason; empty until Finished.
func (a *Assembler) FinishReason() string { return a.finishReason }

// CachedTokens returns the prompt tokens that came from a prefix cache.
func (a *Assembler) CachedTokens() int { return a.cachedTokens }

// Versions returns the spans handed out so far. They cover [0, Next()) without
// a gap, and neighbours differ in version. The result is the caller's own.
func (a *Assembler) Versions() []api.VersionSpan {
	return append([]api.VersionSpan(nil), a.spans...)
}
