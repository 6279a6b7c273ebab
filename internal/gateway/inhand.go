package gateway

import (
	"context"
	"sync"
)

// inHand counts the requests between their first check and their last byte.
type inHand struct {
	mutex    sync.Mutex
	count    int
	draining bool
	// empty is closed once draining is set and count is zero.
	empty chan struct{}
}

func newInHand() *inHand {
	return &inHand{empty: make(chan struct{})}
}

// enter counts a request; false once draining has begun.
func (h *inHand) enter() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.draining {
		return false
	}
	h.count++
	return true
}

func (h *inHand) leave() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.count--
	if h.draining && h.count == 0 {
		close(h.empty)
	}
}

func (h *inHand) drain(ctx context.Context) error {
	h.begin()
	select {
	case <-h.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *inHand) begin() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.draining {
		return
	}
	h.draining = true
	if h.count == 0 {
		close(h.empty)
	}
}
