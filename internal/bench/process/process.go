// Package process manages child processes for benchmarks and tests: it starts
// binaries, waits for output lines, sends signals, captures logs and kills
// whole process groups.
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
	// Name identifies the process in errors.
	Name string
	// Path is the binary; Arguments are its flags.
	Path      string
	Arguments []string
	// Environment ("KEY=value") is added to the parent's environment.
	Environment []string
	// LogPath is the file to which standard output and error are appended;
	// empty buffers them in memory only.
	LogPath string
}

// Process is a running or exited child process. Its methods are safe for
// concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	output  *lineLog
	exited  chan struct{}
	// exitError must be read only after exited is closed.
	exitError error
}

// ErrExited is returned when the process exited before the condition was met, or when its group was killed
// before it could start.
var ErrExited = errors.New("process exited")

// outputDrainTimeout bounds the wait for a child's remaining output after its exit.
const outputDrainTimeout = 5 * time.Second

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
	command.WaitDelay = outputDrainTimeout
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

func (p *Process) Name() string { return p.name }

// ID returns the operating system's process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, or -1 while the process runs or if a signal
// killed it.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Logs returns the buffered lines of standard output and error, interleaved.
func (p *Process) Logs() []string { return p.output.lines() }

// WaitLine returns the first line of output, buffered or future, that match
// accepts. It returns ErrExited if the process exits first, or ctx's error.
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
		// The last lines may have been appended just before the exit.
		if lines, _, _ := p.output.since(next); len(lines) > 0 {
			return nil
		}
		return errors.Wrapf(ErrExited, "%s exited with code %d, last lines %q", p.name, p.ExitCode(), tail(p.Logs()))
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

// Suspend suspends the process (SIGSTOP); its sockets stay open.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process (SIGCONT).
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Wait waits until the process exits and returns the exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.exited:
		return p.ExitCode(), nil
	case <-ctx.Done():
		return -1, errors.Wrapf(ctx.Err(), "wait for %s to exit", p.name)
	}
}

// Terminate requests a graceful shutdown (SIGTERM) and returns the exit code.
// The process is not killed when ctx is done first.
func (p *Process) Terminate(ctx context.Context) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, ErrExited) {
		return -1, err
	}
	return p.Wait(ctx)
}

// Kill kills the process group (SIGKILL) and waits for the process to exit. It
// does nothing if the process has exited.
func (p *Process) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	_ = syscall.Kill(-p.ID(), syscall.SIGKILL)
	<-p.exited
}

// quotedLogLines is the maximum number of log lines included in an error.
const quotedLogLines = 5

func tail(lines []string) []string {
	return lines[max(0, len(lines)-quotedLogLines):]
}
