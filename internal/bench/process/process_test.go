package process

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const waitTimeout = 30 * time.Second

func startScript(t *testing.T, text string) *Process {
	t.Helper()
	child, err := Start(Spec{Name: "script", Path: "/bin/sh", Arguments: []string{"-c", text}})
	assert.NilError(t, err)
	t.Cleanup(child.Kill)
	return child
}

func timeoutContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func equals(want string) func(string) bool {
	return func(line string) bool { return line == want }
}

func TestWaitLineFindsPastLinesAndTerminateReturnsExitCode(t *testing.T) {
	child := startScript(t, `trap 'echo bye; exit 7' TERM; echo ready >&2; while :; do sleep 0.01; done`)
	_, err := child.WaitLine(timeoutContext(t), equals("ready"))
	assert.NilError(t, err)
	code, err := child.Terminate(timeoutContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 7)
	// Buffered lines are matched also after the process exited.
	_, err = child.WaitLine(timeoutContext(t), equals("bye"))
	assert.NilError(t, err)
	code, err = child.Terminate(timeoutContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 7)
}

func TestWaitLineReturnsErrExitedWhenProcessExits(t *testing.T) {
	child := startScript(t, `echo sorry; exit 3`)
	_, err := child.WaitLine(timeoutContext(t), equals("ready"))
	assert.ErrorIs(t, err, ErrExited)
	assert.ErrorContains(t, err, "code 3")
	assert.ErrorContains(t, err, "sorry")
}

func TestKillEndsProcessGroup(t *testing.T) {
	child := startScript(t, `sleep 1000 & echo "child $!"; wait`)
	line, err := child.WaitLine(timeoutContext(t), func(line string) bool { return strings.HasPrefix(line, "child ") })
	assert.NilError(t, err)
	grandchild := filepath.Join("/proc", strings.TrimPrefix(line, "child "))
	child.Kill()
	child.Kill()
	ctx := timeoutContext(t)
	for {
		state, err := os.ReadFile(filepath.Join(grandchild, "stat"))
		if err != nil || strings.Contains(string(state), ") Z ") {
			return
		}
		assert.NilError(t, ctx.Err(), "a process of the group is still running")
		time.Sleep(time.Millisecond)
	}
}

func TestProcessProducesOutputAfterSuspendAndResume(t *testing.T) {
	child := startScript(t, `while :; do echo tick; sleep 0.01; done`)
	_, err := child.WaitLine(timeoutContext(t), equals("tick"))
	assert.NilError(t, err)
	assert.NilError(t, child.Suspend())
	assert.NilError(t, child.Resume())
	before := len(child.Logs())
	ctx := timeoutContext(t)
	for len(child.Logs()) <= before {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

func TestGroupStartFailsAfterKillAll(t *testing.T) {
	var group Group
	child, err := group.Start(Spec{Name: "sleeper", Path: "/bin/sh", Arguments: []string{"-c", "sleep 1000"}})
	assert.NilError(t, err)
	group.KillAll()
	<-child.Exited()
	assert.Equal(t, child.ExitCode(), -1)
	_, err = group.Start(Spec{Name: "late", Path: "/bin/sh"})
	assert.ErrorIs(t, err, ErrExited)
}

func TestFreeAddressReturnsDistinctUsableAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address])
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
	}
}
