package logrelay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// silentAfter is how long a direct call that writes may be unanswered before the node looks whether
	// the log still answers it at all. A write takes some 10 ms; a leader whose way falls silent must
	// notice, and renew its lease through another node, before the others take it for gone.
	silentAfter = 150 * time.Millisecond
	// silentLook bounds that look: a read without a wait.
	silentLook = 250 * time.Millisecond
)

// directCalls ends the direct calls under way once the direct way has fallen silent, so that whoever
// made them makes them again through another node.
type directCalls struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newDirectCalls() directCalls {
	ctx, cancel := context.WithCancel(context.Background())
	return directCalls{ctx: ctx, cancel: cancel}
}

// endedBySilence returns a context for a direct call that ends as well once the direct way has fallen
// silent. Whoever made the call ends it by the returned function.
func (f *Fallback) endedBySilence(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	direct := f.calls.ctx
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(direct, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// watchSilence looks at the direct way if a write is not answered soon. The returned function ends
// the watch.
func (f *Fallback) watchSilence() func() {
	timer := time.AfterFunc(silentAfter, f.lookAtSilence)
	return func() { timer.Stop() }
}

// lookAtSilence switches to other nodes at once where the log answers this node nothing: three
// calls that each wait for their time-out take longer than a lease.
func (f *Fallback) lookAtSilence() {
	f.mu.Lock()
	if f.looking || f.failures >= switchWeight {
		f.mu.Unlock()
		return
	}
	f.looking = true
	f.mu.Unlock()
	err := f.look(silentLook)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looking = false
	if !errors.Is(err, context.DeadlineExceeded) || f.failures >= switchWeight {
		return
	}
	f.switchLocked(switchWeight, err)
}

// look makes a small read of the log directly; nil when the log answered.
func (f *Fallback) look(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := f.direct.Read(ctx, eventlog.Partition{Topic: directoryTopic}, 0, 1, 0)
	var lost *eventlog.GoneError
	if errors.As(err, &lost) {
		return nil
	}
	if err != nil && ctx.Err() != nil {
		return errors.Wrap(context.DeadlineExceeded, err.Error())
	}
	return err
}
