package dispatcher

import (
	"context"
	"sort"
	"sync"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/message"
)

// answerBuffer holds the answer of one task between the engine stream that
// writes it and the readers that relay it. Its size is bounded: the writer
// waits while the furthest reader is too far behind.
//
// Invariant: pieces are contiguous from base to next; each token index is
// appended once.
type answerBuffer struct {
	mutex  sync.Mutex
	pieces []message.Progress
	base   int
	next   int
	// read is the furthest index that a reader has taken.
	read    int
	readers int
	// closed: no reader came back in time; none is admitted any more.
	closed   bool
	finished *message.Progress
	err      *errkind.Error
	// changed and space are closed when there is more to read, or room to
	// write; nil while nobody waits.
	changed chan struct{}
	space   chan struct{}
}

func newAnswerBuffer(firstToken int) *answerBuffer {
	return &answerBuffer{base: firstToken, next: firstToken, read: firstToken}
}

// wait returns the channel that wake will close.
func wait(waiters *chan struct{}) <-chan struct{} {
	if *waiters == nil {
		*waiters = make(chan struct{})
	}
	return *waiters
}

// wake wakes all that wait. The caller holds the lock.
func wake(waiters *chan struct{}) {
	if *waiters != nil {
		close(*waiters)
		*waiters = nil
	}
}

// append adds new tokens, which start at index next. It blocks while the
// readers are too far behind and fails when ctx ends.
func (b *answerBuffer) append(ctx context.Context, piece message.Progress) error {
	b.mutex.Lock()
	for b.next-b.read >= bufferUnreadTokens {
		space := wait(&b.space)
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
	wake(&b.changed)
	return nil
}

// extendLast adds the tokens to the last piece if they are like its own; false
// when they need a piece to themselves. Readers may hold the last piece: they
// see its tokens up to the length that it had, which never change.
func (b *answerBuffer) extendLast(piece *message.Progress) bool {
	if len(b.pieces) == 0 {
		return false
	}
	last := &b.pieces[len(b.pieces)-1]
	alike := last.EngineAttempt == piece.EngineAttempt && last.Engine == piece.Engine && last.Version == piece.Version
	if !alike || len(last.Tokens)+len(piece.Tokens) > bufferPieceTokens {
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
	wake(&b.changed)
}

// fail ends the answer with an error.
func (b *answerBuffer) fail(err *errkind.Error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ended() {
		return
	}
	b.err = err
	wake(&b.changed)
}

func (b *answerBuffer) ended() bool { return b.finished != nil || b.err != nil }

// busy tells whether the answer has not ended, or is still being read.
func (b *answerBuffer) busy() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.ended() || b.readers > 0
}

// enter admits a reader that wants tokens from an index on.
func (b *answerBuffer) enter(from int) *errkind.Error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return errkind.New(errkind.OutcomeUnknown, "the request was given up: its caller was gone")
	}
	if from < b.base {
		return errkind.New(errkind.OutcomeUnknown, "tokens before %d are no longer kept", b.base)
	}
	b.readers++
	return nil
}

// leave tells that a reader left; true when it was the last one.
func (b *answerBuffer) leave() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.readers--
	return b.readers == 0
}

// closeUnread closes the buffer unless it has a reader.
func (b *answerBuffer) closeUnread() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.readers > 0 {
		return false
	}
	b.closed = true
	return true
}

// window is what a reader finds at its index.
type window struct {
	pieces []message.Progress
	// finished is the last message, set once pieces reach the end.
	finished *message.Progress
	err      *errkind.Error
	// changed is closed when there is more to see; nil when there is something now.
	changed <-chan struct{}
}

// readFrom returns what follows an index; the reader has sent on all before it.
// The first piece may begin before the index. The pieces go into the memory of
// reuse, if it is large enough.
func (b *answerBuffer) readFrom(from int, reuse []message.Progress) window {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if from < b.base {
		return window{err: errkind.New(errkind.OutcomeUnknown, "the reader fell too far behind")}
	}
	b.advance(from)
	first := sort.Search(len(b.pieces), func(i int) bool {
		return b.pieces[i].FirstToken+len(b.pieces[i].Tokens) > from
	})
	found := window{
		pieces:   append(reuse[:0], b.pieces[first:]...),
		finished: b.finished,
		err:      b.err,
	}
	if len(found.pieces) == 0 && !b.ended() {
		found.changed = wait(&b.changed)
	}
	return found
}

// advance notes that a reader has taken the tokens up to an index, and drops
// what need not be kept any more.
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
	wake(&b.space)
}
