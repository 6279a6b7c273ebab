package dispatcher

import (
	"context"
	"sort"
	"sync"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/message"
)

// answerBuffer holds the answer of one task between the engine stream that writes it and the readers
// that relay it. Its size is bounded: the writer blocks while the furthest reader is too far behind.
//
// Invariant: pieces are contiguous from base to next; each token index is appended once.
type answerBuffer struct {
	mutex  sync.Mutex
	pieces []message.Progress
	base   int
	next   int
	// read is the furthest index that any reader has acknowledged.
	read    int
	readers int
	// closed is set when the linger timeout expired without a reader; no reader is accepted after
	// that.
	closed   bool
	finished *message.Progress
	err      *errkind.Error
	// changed is closed when there is more to read, space when there is room to write; both are nil
	// while no goroutine waits.
	changed chan struct{}
	space   chan struct{}
}

func newAnswerBuffer(firstToken int) *answerBuffer {
	return &answerBuffer{base: firstToken, next: firstToken, read: firstToken}
}

// waitChannel returns the channel that wakeWaiters closes.
func waitChannel(waiters *chan struct{}) <-chan struct{} {
	if *waiters == nil {
		*waiters = make(chan struct{})
	}
	return *waiters
}

// wakeWaiters wakes all waiters. Must be called with mutex held.
func wakeWaiters(waiters *chan struct{}) {
	if *waiters != nil {
		close(*waiters)
		*waiters = nil
	}
}

// append adds new tokens, which must start at index next. It blocks while the readers are too far
// behind and returns the error of ctx if that ends.
func (b *answerBuffer) append(ctx context.Context, piece message.Progress) error {
	b.mutex.Lock()
	for b.next-b.read >= bufferUnreadTokens {
		space := waitChannel(&b.space)
		b.mutex.Unlock()
		select {
		case <-space:
		case <-ctx.Done():
			return ctx.Err()
		}
		b.mutex.Lock()
	}
	defer b.mutex.Unlock()
	if !b.extendLast(&piece) {
		b.pieces = append(b.pieces, piece)
	}
	b.next += len(piece.Tokens)
	wakeWaiters(&b.changed)
	return nil
}

// extendLast appends the tokens to the last piece if both have the same origin and version; it returns
// false if they need a piece of their own. Readers may hold a copy of the last piece: the tokens
// within its length never change.
func (b *answerBuffer) extendLast(piece *message.Progress) bool {
	if len(b.pieces) == 0 {
		return false
	}
	last := &b.pieces[len(b.pieces)-1]
	sameSource := last.EngineAttempt == piece.EngineAttempt && last.Engine == piece.Engine && last.Version == piece.Version
	if !sameSource || len(last.Tokens)+len(piece.Tokens) > bufferMaximumPieceTokens {
		return false
	}
	last.Tokens = append(last.Tokens, piece.Tokens...)
	return true
}

// finish ends the answer with its last message.
func (b *answerBuffer) finish(last message.Progress) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last.FirstToken = b.next
	b.finished = &last
	wakeWaiters(&b.changed)
}

// fail ends the answer with an error.
func (b *answerBuffer) fail(err *errkind.Error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ended() {
		return
	}
	b.err = err
	wakeWaiters(&b.changed)
}

func (b *answerBuffer) ended() bool { return b.finished != nil || b.err != nil }

// busy reports whether the answer has not ended or is still being read.
func (b *answerBuffer) busy() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.ended() || b.readers > 0
}

// addReader registers a reader that starts at a token index.
func (b *answerBuffer) addReader(from int) *errkind.Error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return errkind.New(errkind.OutcomeUnknown, "the request was abandoned: its caller disconnected")
	}
	if from < b.base {
		return errkind.New(errkind.OutcomeUnknown, "tokens before %d are no longer kept", b.base)
	}
	b.readers++
	return nil
}

// removeReader unregisters a reader and reports whether it was the last one.
func (b *answerBuffer) removeReader() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.readers--
	return b.readers == 0
}

// closeIfUnread closes the buffer unless it has a reader, and reports whether it did.
func (b *answerBuffer) closeIfUnread() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.readers > 0 {
		return false
	}
	b.closed = true
	return true
}

// readResult is the part of the answer that is available from an index on.
type readResult struct {
	pieces []message.Progress
	// finished is the last message, set once the answer is complete.
	finished *message.Progress
	err      *errkind.Error
	// changed is closed when more is available; nil if there is something to read now.
	changed <-chan struct{}
}

// readFrom returns the answer from an index on and acknowledges all tokens before it. The first piece
// may begin before the index. The memory of reuse is used for the pieces if it is large enough.
func (b *answerBuffer) readFrom(from int, reuse []message.Progress) readResult {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if from < b.base {
		return readResult{err: errkind.New(errkind.OutcomeUnknown, "the reader fell too far behind")}
	}
	b.advance(from)
	first := sort.Search(len(b.pieces), func(i int) bool {
		return b.pieces[i].FirstToken+len(b.pieces[i].Tokens) > from
	})
	result := readResult{
		pieces:   append(reuse[:0], b.pieces[first:]...),
		finished: b.finished,
		err:      b.err,
	}
	if len(result.pieces) == 0 && !b.ended() {
		result.changed = waitChannel(&b.changed)
	}
	return result
}

// advance acknowledges the tokens before an index and drops pieces that are no longer retained. Must
// be called with mutex held.
func (b *answerBuffer) advance(read int) {
	if read <= b.read {
		return
	}
	b.read = read
	dropped := 0
	for _, piece := range b.pieces {
		end := piece.FirstToken + len(piece.Tokens)
		if end > b.read-bufferRetainedTokens {
			break
		}
		b.base = end
		dropped++
	}
	b.pieces = b.pieces[dropped:]
	wakeWaiters(&b.space)
}
