package process

import "syscall"

// childAttributes puts the child into its own process group, so that it can be
// ended with all it started, and ties its life to this process. The kernel
// follows the thread that started the child; the Go runtime ends a thread only
// when a goroutine that is locked to it returns, which none here is.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
