package process

import "sync"

// Group remembers the processes of one deployment, so that all of them can be
// ended together. The zero value is ready for use.
type Group struct {
	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// Start starts a process of the group; after KillAll it fails with ErrExited.
func (g *Group) Start(spec Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, ErrExited
	}
	child, err := Start(spec)
	if err != nil {
		return nil, err
	}
	g.processes = append(g.processes, child)
	return child, nil
}

// KillAll ends all processes of the group, the last started first.
func (g *Group) KillAll() {
	g.mu.Lock()
	g.closed = true
	processes := g.processes
	g.processes = nil
	g.mu.Unlock()
	for i := len(processes) - 1; i >= 0; i-- {
		processes[i].Kill()
	}
}
