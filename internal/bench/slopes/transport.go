package slopes

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/peer"
)

// runningTransport is a real peer transport on a loopback address.
type runningTransport struct{ *peer.Transport }

// startTransport listens, lets register add handlers, and serves.
func startTransport(nodeID string, register func(*peer.Transport)) (*runningTransport, error) {
	transport := peer.New(peer.Options{NodeID: nodeID, ListenAddress: "127.0.0.1:0", Logger: zerolog.Nop()})
	if err := transport.Listen(); err != nil {
		return nil, err
	}
	register(transport)
	if err := transport.Start(); err != nil {
		return nil, err
	}
	return &runningTransport{Transport: transport}, nil
}

// close ends the transport at once.
func (t *runningTransport) close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = t.Close(ended)
}

// runInBackground starts a loop and returns what stops it and waits.
func runInBackground(loop func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = loop(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// waitUntil polls for a condition until patience ends.
func waitUntil(what string, holds func() bool) error {
	const pollInterval = time.Millisecond
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			return errors.Errorf("waited %s, but not: %s", patience, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
