package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// restartDelay is how long after its end a node is started again.
	restartDelay = 300 * time.Millisecond
	graceSeconds = 6
	stopTimeout  = (graceSeconds + 4) * time.Second
	// nodePrefix begins the name of each node.
	nodePrefix = "node-"
)

// node is one corkpulleyd process, started again whenever it ends.
type node struct {
	number    int
	callers   string
	operators string
	// builds are the programs that its lives start from in turn.
	builds    []build
	directory string
	// enginesFence is the setting of the same name.
	enginesFence bool
	// link is its only way to the store, which ends at store.
	link  *faultproxy.Link
	store *nodeStore

	mu      sync.Mutex
	running *process.Process
	life    int
	// unplanned holds exits that nobody caused.
	unplanned []string
	// expected is true while an end of the process is planned by the soak.
	expected bool
}

// settingsText is what the node's settings say for all builds.
func (n *node) settingsText(store, duties, peers string) string {
	return fmt.Sprintf(`[node]
id = "%s%d"
zone = "%s"
region = "%s"

[listen]
callers = "%s"
operators = "%s"
peers = "%s"

[hosted]
log = "%s"
engines_fence = %t
reads_per_second = 2000
duties = "%s"
duty_kinds = "usage"
usage_window = "%s"
usage_due = "%s"

[shutdown]
grace = "%ds"
`, nodePrefix, n.number, zoneOf(n.number), regionOf(n.number), n.callers, n.operators, peers, store, n.enginesFence, duties,
		usageWindow, usageDue, graceSeconds)
}

// run keeps the process running until ctx ends.
func (n *node) run(ctx context.Context) {
	for ctx.Err() == nil {
		started, err := n.start()
		if err != nil {
			n.note(err.Error())
			retry.Sleep(ctx, restartDelay)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-started.Exited():
		}
		n.noteExit(started)
		retry.Sleep(ctx, restartDelay)
	}
}

func (n *node) start() (*process.Process, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life++
	n.expected = false
	build := n.build()
	started, err := process.Start(process.Spec{
		Name: fmt.Sprintf("node-%d", n.number), Path: build.path, Arguments: []string{"--settings", build.settings},
		LogPath: filepath.Join(n.directory, fmt.Sprintf("node-%d.%d.log", n.number, n.life)),
	})
	if err != nil {
		return nil, err
	}
	n.running = started
	return started, nil
}

// build is the program that the current life starts from: nodes side by side differ, and so do the lives of one
// node. mu is held.
func (n *node) build() build { return n.builds[(n.number+n.life)%len(n.builds)] }

func (n *node) note(problem string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unplanned = append(n.unplanned, problem)
}

func (n *node) noteExit(ended *process.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.expected {
		n.unplanned = append(n.unplanned, fmt.Sprintf("node %d ended by itself in life %d with code %d", n.number, n.life, ended.ExitCode()))
	}
}

// current returns the process and the number of its life.
func (n *node) current() (*process.Process, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running, n.life
}

// expectEnd notes that the process is about to be ended and returns it.
func (n *node) expectEnd() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expected = true
	return n.running
}

// kill ends the process at once.
func (n *node) kill() {
	if running := n.expectEnd(); running != nil {
		running.Kill()
	}
}

// stop is a planned stop, after which the process must end in its grace period.
func (n *node) stop(ctx context.Context) {
	running := n.expectEnd()
	if running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	code, err := running.Terminate(ctx)
	if err == nil && code == 0 {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) || code > 0 {
		n.note(fmt.Sprintf("node %d: planned stop ended with code %d, %v", n.number, code, err))
	}
	running.Kill()
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	if running, _ := n.current(); running != nil {
		_ = running.Signal(signal)
	}
}

// ready asks the node whether it is ready.
func (n *node) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.operators+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func writeFile(path, text string) error {
	const mode = 0o600
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}
