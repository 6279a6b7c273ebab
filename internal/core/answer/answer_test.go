package answer

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/api"
	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/message"
)

func accept(t *testing.T, assembler *Assembler, progress message.Progress) Run {
	t.Helper()
	run, err := assembler.Accept(&progress)
	assert.NilError(t, err)
	return run
}

func TestAcceptTrimsOverlap(t *testing.T) {
	var assembler Assembler
	assembler.StartAttempt(1)
	accept(t, &assembler, message.Progress{Attempt: 1, Tokens: []string{"a", "b"}, Version: 3, CachedTokens: 7})
	run := accept(t, &assembler, message.Progress{Attempt: 1, FirstToken: 1, Tokens: []string{"b", "c"}, Version: 4})
	assert.DeepEqual(t, run, Run{FirstToken: 2, Tokens: []string{"c"}, Version: 4})
	accept(t, &assembler, message.Progress{Attempt: 1, FirstToken: 3, Finished: true, FinishReason: "stop", CachedTokens: 9})
	assert.Assert(t, assembler.Finished())
	assert.Equal(t, assembler.FinishReason(), "stop")
	assert.Equal(t, assembler.CachedTokens(), 7)
	assert.DeepEqual(t, assembler.Versions(), []api.VersionSpan{
		{Version: 3, From: 0, To: 2},
		{Version: 4, From: 2, To: 3},
	})
}

func TestAcceptRejectsInvalidMessagesAndIgnoresOtherAttempts(t *testing.T) {
	var assembler Assembler
	assembler.StartAttempt(2)
	ignored := accept(t, &assembler, message.Progress{Attempt: 1, Tokens: []string{"x"}, Version: 1, Finished: true})
	assert.Equal(t, len(ignored.Tokens), 0)
	assert.Assert(t, !assembler.Finished())

	_, err := assembler.Accept(&message.Progress{Attempt: 2, FirstToken: 1, Tokens: []string{"b"}, Version: 1})
	var gap *GapError
	assert.Assert(t, errors.As(err, &gap))
	assert.Equal(t, *gap, GapError{Want: 0, Got: 1})

	_, err = assembler.Accept(&message.Progress{Attempt: 2, Tokens: []string{"a"}})
	assert.ErrorIs(t, err, ErrMissingVersion)

	accept(t, &assembler, message.Progress{Attempt: 2, Tokens: []string{"a", "b"}, Version: 1})
	_, err = assembler.Accept(&message.Progress{Attempt: 2, FirstToken: 1, Finished: true})
	var short *ShortError
	assert.Assert(t, errors.As(err, &short))
	assert.Equal(t, assembler.Next(), 2)
	assembler.StartAttempt(1)
	assert.Assert(t, !assembler.CompleteAt(3))
	assert.Assert(t, assembler.CompleteAt(2))
	assert.Equal(t, assembler.FinishReason(), FinishLength)
}

// sequence is a complete answer: token texts and the version of each.
type sequence struct {
	tokens   []string
	versions []uint64
}

func drawSequence(t *rapid.T) sequence {
	length := rapid.IntRange(0, 60).Draw(t, "length")
	var want sequence
	version := uint64(1)
	for index := range length {
		version += uint64(rapid.IntRange(0, 9).Draw(t, "step") / 9)
		want.tokens = append(want.tokens, fmt.Sprintf("t%d", index))
		want.versions = append(want.versions, version)
	}
	return want
}

// messageOf returns a message with tokens [from, to) of the sequence, truncated where the version changes.
func (s sequence) messageOf(attempt uint32, from, to int) message.Progress {
	progress := message.Progress{Attempt: attempt, FirstToken: from}
	for index := from; index < to && s.versions[index] == s.versions[from]; index++ {
		progress.Version = s.versions[index]
		progress.Tokens = append(progress.Tokens, s.tokens[index])
	}
	progress.Finished = from+len(progress.Tokens) == len(s.tokens)
	return progress
}

// Delivers random parts of the answer, duplicated, out of order and mixed with messages of other attempts.
func TestAcceptReconstructsAnswerFromAnyDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawSequence(t)
		var assembler Assembler
		attempt := uint32(1)
		assembler.StartAttempt(attempt)
		var tokens []string
		var versions []uint64
		deliver := func(progress message.Progress) {
			run, err := assembler.Accept(&progress)
			var gap *GapError
			if errors.As(err, &gap) {
				assert.Equal(t, gap.Want, len(tokens))
				return
			}
			assert.NilError(t, err)
			if len(run.Tokens) > 0 {
				assert.Equal(t, run.FirstToken, len(tokens))
			}
			for _, token := range run.Tokens {
				tokens = append(tokens, token)
				versions = append(versions, run.Version)
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "messages") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				attempt++
				assembler.StartAttempt(attempt)
			case 1:
				outdated := want.messageOf(attempt-1, 0, len(want.tokens))
				outdated.Finished = true
				deliver(outdated)
			default:
				from := rapid.IntRange(0, len(want.tokens)).Draw(t, "from")
				to := rapid.IntRange(from, len(want.tokens)).Draw(t, "to")
				progress := want.messageOf(attempt, from, to)
				deliver(progress)
				deliver(progress)
			}
		}
		for !assembler.Finished() {
			deliver(want.messageOf(attempt, assembler.Next(), len(want.tokens)))
		}
		assert.DeepEqual(t, tokens, want.tokens)
		assert.DeepEqual(t, versions, want.versions)
		checkSpans(t, assembler.Versions(), want.versions)
	})
}

func checkSpans(t *rapid.T, spans []api.VersionSpan, versions []uint64) {
	next := 0
	for _, span := range spans {
		assert.Equal(t, span.From, next)
		assert.Assert(t, span.To > span.From)
		for index := span.From; index < span.To; index++ {
			assert.Equal(t, span.Version, versions[index])
		}
		next = span.To
	}
	assert.Equal(t, next, len(versions))
}

// Guards against a token index that is returned twice or out of order for arbitrary messages.
func FuzzAccept(f *testing.F) {
	f.Add([]byte{1, 0, 2, 1, 1, 1, 3, 0, 2, 0, 9, 1})
	f.Fuzz(func(t *testing.T, input []byte) {
		var assembler Assembler
		next := 0
		for ; len(input) >= 4; input = input[4:] {
			assembler.StartAttempt(uint32(input[0] % 4))
			progress := message.Progress{
				Attempt:    uint32(input[0]%4) + uint32(input[3]%2),
				FirstToken: int(int8(input[1])),
				Tokens:     make([]string, input[2]%8),
				Version:    uint64(input[3] % 3),
				Finished:   input[3]%5 == 4,
			}
			run, err := assembler.Accept(&progress)
			if err != nil {
				assert.Equal(t, len(run.Tokens), 0)
				continue
			}
			if len(run.Tokens) > 0 {
				assert.Equal(t, run.FirstToken, next)
			}
			next += len(run.Tokens)
			assert.Equal(t, assembler.Next(), next)
		}
	})
}
