package peer

import (
	"context"
	"time"
)

// flushTimeout bounds the writing of what is queued at the end of Close.
const flushTimeout = time.Second

// Close refuses new calls and streams as ShuttingDown, waits for the running
// handlers until ctx ends, and closes all connections. It returns ctx's error
// when handlers were still running; these see their contexts end.
func (t *Transport) Close(ctx context.Context) error {
	if !t.startDraining() {
		return nil
	}
	var err error
	select {
	case <-t.drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	t.shut()
	t.flushConnections()
	t.stop()
	for _, c := range t.openConnections() {
		c.fail(errTransportClosed)
	}
	t.loops.Wait()
	return err
}

// startDraining reports whether this is the first Close.
func (t *Transport) startDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.draining = true
	if t.running == 0 {
		close(t.drained)
	}
	return true
}

// shut closes the listener and lets no new connection in.
func (t *Transport) shut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
}

// flushConnections lets the last answers out before the sockets close.
func (t *Transport) flushConnections() {
	limit := time.NewTimer(flushTimeout)
	defer limit.Stop()
	open := t.openConnections()
	for _, c := range open {
		c.closeAfterFlush()
	}
	for _, c := range open {
		select {
		case <-c.done:
		case <-limit.C:
			return
		}
	}
}
