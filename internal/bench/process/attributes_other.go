//go:build !linux

package process

import "syscall"

// childAttributes puts the child into its own process group. Only Linux can
// tie the child's life to this process.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
