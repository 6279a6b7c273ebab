package process

import "sync"

// Group tracks the processes of one deployment so that they can be killed
// together. The zero value is ready for use.
type Group struct {
	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// Start starts a process in the group. After KillAll it returns ErrExited.
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

// KillAll kills all processes of the group in reverse order of their start.
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
