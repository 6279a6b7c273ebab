package logrelay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// stallThreshold is how long a direct write may take before the node checks whether the log still answers it. A
	// write takes about 10 ms; a leader must notice a stall, and renew its lease through a peer, before the lease
	// expires.
	stallThreshold = 150 * time.Millisecond
	// stallCheckTimeout limits the read that checks for a stall.
	stallCheckTimeout = 250 * time.Millisecond
)

// cancelGroup cancels all direct calls in progress once the direct connection has stalled, so that their callers
// retry through a peer.
type cancelGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newCancelGroup() cancelGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return cancelGroup{ctx: ctx, cancel: cancel}
}

// withStallCancel returns a context for a direct call that is also canceled when the direct connection is found to
// be stalled. The returned function releases the context.
func (f *Fallback) withStallCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	group := f.directCalls.ctx
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(group, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// watchForStall checks for a stall if a write takes longer than stallThreshold. The returned function stops the
// timer.
func (f *Fallback) watchForStall() func() {
	timer := time.AfterFunc(stallThreshold, f.checkStall)
	return func() { timer.Stop() }
}

// checkStall relays calls at once if the log does not answer a read either: waiting for the timeouts of
// failuresToSwitch calls would take longer than a lease.
func (f *Fallback) checkStall() {
	f.mu.Lock()
	if f.checkingStall || f.failures >= switchWeight {
		f.mu.Unlock()
		return
	}
	f.checkingStall = true
	f.mu.Unlock()
	err := f.readDirect(stallCheckTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkingStall = false
	if !errors.Is(err, context.DeadlineExceeded) || f.failures >= switchWeight {
		return
	}
	f.setFailures(switchWeight, err)
}

// readDirect makes a small direct read of the log. It returns nil if the log answered, and context.DeadlineExceeded
// on a timeout.
func (f *Fallback) readDirect(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := f.direct.Read(ctx, eventlog.Partition{Topic: directoryTopic}, 0, 1, 0)
	var trimmed *eventlog.TrimmedError
	if errors.As(err, &trimmed) {
		return nil
	}
	if err != nil && ctx.Err() != nil {
		return errors.Wrap(context.DeadlineExceeded, err.Error())
	}
	return err
}
