//go:build !linux

package process

import "syscall"

// childAttributes puts the child into its own process group. Pdeathsig is
// available on Linux only.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
