package process

import "syscall"

// childAttributes puts the child into its own process group, so that it can be
// killed with its descendants, and has it killed when this process dies.
// Pdeathsig is bound to the parent thread, which the Go runtime ends only when
// a goroutine locked to it returns; none here is locked.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
