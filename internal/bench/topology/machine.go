package topology

import (
	"context"
	"encoding/json"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/process"
)

// startTimeout bounds the wait for a started process to listen.
const startTimeout = 30 * time.Second

// machine is a process that can be stopped and restarted on the same addresses.
type machine struct {
	ID         string
	Zone       string
	deployment *Deployment

	mu      sync.Mutex
	process *process.Process
}

// launch starts the process and waits for an output line that listening accepts.
func (m *machine) launch(ctx context.Context, path string, arguments []string, listening func(string) bool) error {
	child, err := m.deployment.group.Start(process.Spec{
		Name:      m.ID,
		Path:      path,
		Arguments: arguments,
		LogPath:   filepath.Join(m.deployment.config.Directory, m.ID+".log"),
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.process = child
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := child.WaitLine(ctx, listening); err != nil {
		return errors.Wrapf(err, "start %s", m.ID)
	}
	return nil
}

// Process returns the most recently started process, or nil before the first start.
func (m *machine) Process() *process.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Running reports whether the process has been started and has not exited.
func (m *machine) Running() bool {
	child := m.Process()
	if child == nil {
		return false
	}
	select {
	case <-child.Exited():
		return false
	default:
		return true
	}
}

// Kill kills the process group (SIGKILL) and waits for the process to exit.
func (m *machine) Kill() { m.Process().Kill() }

// Suspend suspends the process (SIGSTOP) until Resume; its sockets stay open.
func (m *machine) Suspend() error { return m.Process().Suspend() }

// Resume resumes a suspended process (SIGCONT).
func (m *machine) Resume() error { return m.Process().Resume() }

// Signal sends a signal to the process, not to its group.
func (m *machine) Signal(signal syscall.Signal) error { return m.Process().Signal(signal) }

// Terminate requests a graceful shutdown (SIGTERM) and returns the exit code.
func (m *machine) Terminate(ctx context.Context) (int, error) {
	return m.Process().Terminate(ctx)
}

// isListeningLine reports whether the line is the one that a stand-in prints once it listens.
func isListeningLine(line string) bool {
	var ready struct {
		Kind    string `json:"kind"`
		Address string `json:"address"`
	}
	return json.Unmarshal([]byte(line), &ready) == nil && ready.Kind != "" && ready.Address != ""
}

// isDaemonListeningLine reports whether the line is the one that corkpulleyd logs once it listens.
func isDaemonListeningLine(line string) bool {
	var entry struct {
		Message string `json:"message"`
		Callers string `json:"callers"`
	}
	return json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "listening" && entry.Callers != ""
}
