package soak

import "sync"

// gate holds back bytes while it is closed.
type gate struct {
	mu     sync.Mutex
	closed int
	// changed is closed and replaced whenever closed changes.
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// hold closes the gate until the returned function is called.
func (g *gate) hold() func() {
	change := func(by int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.closed += by
		close(g.changed)
		g.changed = make(chan struct{})
	}
	change(1)
	return sync.OnceFunc(func() { change(-1) })
}

// await waits until the gate is open. It returns false if the sender resets its connection while the gate is closed; a nil
// channel stands for a connection whose bytes are delivered all the same.
func (g *gate) await(reset <-chan struct{}) bool {
	for {
		g.mu.Lock()
		closed, changed := g.closed > 0, g.changed
		g.mu.Unlock()
		if !closed {
			return true
		}
		select {
		case <-changed:
		case <-reset:
			return false
		}
	}
}
