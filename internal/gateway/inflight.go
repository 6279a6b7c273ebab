package gateway

import (
	"context"
	"sync"
)

// inflight counts the requests whose handlers are running.
type inflight struct {
	mutex    sync.Mutex
	count    int
	draining bool
	// drained is closed once draining is set and count is zero.
	drained chan struct{}
}

func newInflight() *inflight {
	return &inflight{drained: make(chan struct{})}
}

// enter counts a request; it returns false after draining has started.
func (i *inflight) enter() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.draining {
		return false
	}
	i.count++
	return true
}

func (i *inflight) leave() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.count--
	if i.draining && i.count == 0 {
		close(i.drained)
	}
}

func (i *inflight) drain(ctx context.Context) error {
	i.startDraining()
	select {
	case <-i.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (i *inflight) startDraining() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.draining {
		return
	}
	i.draining = true
	if i.count == 0 {
		close(i.drained)
	}
}
