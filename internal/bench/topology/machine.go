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

// startTimeout bounds the wait for a process to say that it listens.
const startTimeout = 30 * time.Second

// machine is one process that may be stopped and started again on the same
// addresses.
type machine struct {
	ID         string
	Zone       string
	deployment *Deployment

	mu      sync.Mutex
	process *process.Process
}

// launch starts the process and waits until it says that it listens.
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

// Process returns the latest process of the machine; nil before the first start.
func (m *machine) Process() *process.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Running reports whether the machine's process has been started and not ended.
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

// Kill ends the process at once (SIGKILL).
func (m *machine) Kill() { m.Process().Kill() }

// Freeze stops the process (SIGSTOP) until Thaw; its sockets stay open.
func (m *machine) Freeze() error { return m.Process().Freeze() }

// Thaw continues a frozen process.
func (m *machine) Thaw() error { return m.Process().Thaw() }

// Signal sends a signal to the process.
func (m *machine) Signal(signal syscall.Signal) error { return m.Process().Signal(signal) }

// Terminate asks for a planned stop and returns the exit code.
func (m *machine) Terminate(ctx context.Context) (int, error) {
	return m.Process().Terminate(ctx)
}

// isListeningLine recognizes the line that a stand-in prints once it listens.
func isListeningLine(line string) bool {
	var ready struct {
		Kind    string `json:"kind"`
		Address string `json:"address"`
	}
	return json.Unmarshal([]byte(line), &ready) == nil && ready.Kind != "" && ready.Address != ""
}

// isDaemonListeningLine recognizes the line that corkpulleyd logs once it listens.
func isDaemonListeningLine(line string) bool {
	var entry struct {
		Message string `json:"message"`
		Callers string `json:"callers"`
	}
	return json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "listening" && entry.Callers != ""
}
