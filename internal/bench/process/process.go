// Package process starts and stops child processes by their binaries, for
// benches and tests: it waits for ready lines, sends signals by process ID,
// keeps the logs, and leaves no process behind.
package process

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Spec describes one child process.
type Spec struct {
	// Name is used in errors and for log files.
	Name string
	// Path is the binary; Arguments are its flags.
	Path      string
	Arguments []string
	// Environment is added to the parent's environment.
	Environment []string
	// LogPath keeps standard output and error in a file; empty keeps them in
	// memory only.
	LogPath string
}

// Process is one running or ended child process. Its methods are safe for use
// by several goroutines.
type Process struct {
	name    string
	command *exec.Cmd
	output  *lineLog
	exited  chan struct{}
	// exitError is written before exited is closed.
	exitError error
}

// ErrExited: the process ended before the condition was met.
var ErrExited = errors.New("process ended")

// reapDelay bounds the wait for a child's output after its end.
const reapDelay = 5 * time.Second

// Start starts a child in its own process group. On Linux the child is killed
// when this process dies.
func Start(spec Spec) (*Process, error) {
	output, err := newLineLog(spec.LogPath)
	if err != nil {
		return nil, errors.Wrapf(err, "open log of %s", spec.Name)
	}
	command := exec.Command(spec.Path, spec.Arguments...)
	command.Env = append(os.Environ(), spec.Environment...)
	command.Stdout = output.writer()
	command.Stderr = output.writer()
	command.SysProcAttr = childAttributes()
	command.WaitDelay = reapDelay
	if err := command.Start(); err != nil {
		output.close()
		return nil, errors.Wrapf(err, "start %s", spec.Name)
	}
	child := &Process{
		name:    spec.Name,
		command: command,
		output:  output,
		exited:  make(chan struct{}),
	}
	go child.reap()
	return child, nil
}

func (p *Process) reap() {
	p.exitError = p.command.Wait()
	p.output.close()
	close(p.exited)
}

// Name returns the name of the Spec.
func (p *Process) Name() string { return p.name }

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Exited returns a channel that is closed after the process ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, or -1 while the process runs and after it was
// ended by a signal.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Logs returns the last lines of output, standard output and error together.
func (p *Process) Logs() []string { return p.output.lines() }

// WaitLine returns the first line of output, past or future, that match accepts.
// Errors: ErrExited, or the context's error.
func (p *Process) WaitLine(ctx context.Context, match func(line string) bool) (string, error) {
	next := 0
	for {
		lines, end, changed := p.output.since(next)
		next = end
		for _, line := range lines {
			if match(line) {
				return line, nil
			}
		}
		if err := p.waitOutput(ctx, changed, next); err != nil {
			return "", err
		}
	}
}

func (p *Process) waitOutput(ctx context.Context, changed <-chan struct{}, next int) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for output of %s, last lines %q", p.name, tail(p.Logs()))
	case <-p.exited:
		// The last lines may have come together with the end.
		if lines, _, _ := p.output.since(next); len(lines) > 0 {
			return nil
		}
		return errors.Wrapf(ErrExited, "%s with code %d, last lines %q", p.name, p.ExitCode(), tail(p.Logs()))
	}
}

// Signal sends a signal to the child only, not to its group.
func (p *Process) Signal(signal syscall.Signal) error {
	select {
	case <-p.exited:
		return errors.Wrap(ErrExited, p.name)
	default:
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return errors.Wrapf(err, "signal %s", p.name)
	}
	return nil
}

// Freeze stops the process (SIGSTOP); it keeps its sockets and its memory.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process (SIGCONT).
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Wait waits for the end and returns the exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.exited:
		return p.ExitCode(), nil
	case <-ctx.Done():
		return -1, errors.Wrapf(ctx.Err(), "wait for the end of %s", p.name)
	}
}

// Terminate asks for a planned stop (SIGTERM) and returns the exit code. The
// process is not killed when ctx ends first.
func (p *Process) Terminate(ctx context.Context) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, ErrExited) {
		return -1, err
	}
	return p.Wait(ctx)
}

// Kill ends the process and its group at once (SIGKILL) and waits for the end.
// It is harmless on an ended process.
func (p *Process) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	_ = syscall.Kill(-p.ID(), syscall.SIGKILL)
	<-p.exited
}

// tailLines is the number of log lines that errors quote.
const tailLines = 5

func tail(lines []string) []string {
	return lines[max(0, len(lines)-tailLines):]
}
