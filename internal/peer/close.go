package peer

import (
	"context"
	"time"
)

// flushTimeout limits the time to write the remaining output in Close.
const flushTimeout = time.Second

// Close rejects new calls and streams with ShuttingDown, waits until running handlers return or ctx ends,
// and closes all connections. If handlers are still running, it cancels their contexts and returns the error
// of ctx.
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
	t.closeListener()
	t.flushConnections()
	t.stop()
	for _, c := range t.openConnections() {
		c.fail(errTransportClosed)
	}
	t.loops.Wait()
	return err
}

// startDraining rejects new handlers. It reports whether this is the first call of Close.
func (t *Transport) startDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.draining = true
	if t.runningHandlers == 0 {
		close(t.drained)
	}
	return true
}

// closeListener closes the listener and rejects new connections.
func (t *Transport) closeListener() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
}

// flushConnections writes the remaining responses and closes the connections, within flushTimeout.
func (t *Transport) flushConnections() {
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	open := t.openConnections()
	for _, c := range open {
		c.closeAfterFlush()
	}
	for _, c := range open {
		select {
		case <-c.done:
		case <-timeout.C:
			return
		}
	}
}
