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
	// restartDelay is the delay between a node's exit and its restart.
	restartDelay = 300 * time.Millisecond
	graceSeconds = 6
	stopTimeout  = (graceSeconds + 4) * time.Second
	// nodePrefix is the prefix of each node's name.
	nodePrefix = "node-"
)

// node is a corkpulleyd process that is restarted whenever it exits.
type node struct {
	number int
	// callerAddress and operatorAddress are the addresses that the node listens on for callers and operators.
	callerAddress   string
	operatorAddress string
	// builds are the builds that consecutive incarnations start from in turn.
	builds    []build
	directory string
	// enginesFence is the value of the setting engines_fence.
	enginesFence bool
	// memoryMB is the value of the setting memory_mb.
	memoryMB int
	// link is the proxy for all connections to the store; its upstream is store.
	link  *faultproxy.Link
	store *nodeStore

	mu          sync.Mutex
	running     *process.Process
	incarnation int
	// problems holds unplanned exits and other failures.
	problems []string
	// exitExpected is set while the soak is ending the process.
	exitExpected bool
}

// settingsText returns the settings that all builds know.
// hosted holds additional lines of the section of this name.
func (n *node) settingsText(store, duties, peers, hosted string) string {
	return fmt.Sprintf(`[node]
id = "%s%d"
zone = "%s"
region = "%s"
memory_mb = %d

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
%s
[shutdown]
grace = "%ds"
`, nodePrefix, n.number, zoneOf(n.number), regionOf(n.number), n.memoryMB, n.callerAddress, n.operatorAddress, peers, store, n.enginesFence, duties,
		usageWindow, usageDue, hosted, graceSeconds)
}

// run keeps the process running until ctx ends.
func (n *node) run(ctx context.Context) {
	for ctx.Err() == nil {
		started, err := n.start()
		if err != nil {
			n.recordProblem(err.Error())
			retry.Sleep(ctx, restartDelay)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-started.Exited():
		}
		n.recordExit(started)
		retry.Sleep(ctx, restartDelay)
	}
}

func (n *node) start() (*process.Process, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.exitExpected = false
	build := n.build()
	started, err := process.Start(process.Spec{
		Name: fmt.Sprintf("node-%d", n.number), Path: build.path, Arguments: []string{"--settings", build.settings},
		LogPath: filepath.Join(n.directory, fmt.Sprintf("node-%d.%d.log", n.number, n.incarnation)),
	})
	if err != nil {
		return nil, err
	}
	n.running = started
	return started, nil
}

// build returns the build of the current incarnation. It differs between neighboring nodes and between
// consecutive incarnations of a node. Must be called with mu held.
func (n *node) build() build { return n.builds[(n.number+n.incarnation)%len(n.builds)] }

func (n *node) recordProblem(problem string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.problems = append(n.problems, problem)
}

func (n *node) recordExit(ended *process.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.exitExpected {
		n.problems = append(n.problems, fmt.Sprintf("node %d exited unexpectedly in incarnation %d with code %d", n.number, n.incarnation, ended.ExitCode()))
	}
}

// current returns the newest process, nil if there is none, and the number of its incarnation.
func (n *node) current() (*process.Process, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running, n.incarnation
}

// expectExit records that the process is about to be ended and returns it.
func (n *node) expectExit() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exitExpected = true
	return n.running
}

func (n *node) kill() {
	if running := n.expectExit(); running != nil {
		running.Kill()
	}
}

// stop terminates the process and records a problem if it does not exit cleanly within its grace period, which may
// extend beyond the end of ctx.
func (n *node) stop(ctx context.Context) {
	running := n.expectExit()
	if running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	code, err := running.Terminate(ctx)
	if err == nil && code == 0 {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) || code > 0 {
		n.recordProblem(fmt.Sprintf("node %d: planned stop ended with code %d, %v", n.number, code, err))
	}
	running.Kill()
}

func (n *node) signal(signal syscall.Signal) {
	if running, _ := n.current(); running != nil {
		_ = running.Signal(signal)
	}
}

// ready reports whether the node's readiness check succeeds.
func (n *node) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.operatorAddress+"/readyz", nil)
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

func writeSettings(path, text string) error {
	const mode = 0o600
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}
