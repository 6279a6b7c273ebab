package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Layout of the kernel's socket diagnosis, linux/inet_diag.h.
const (
	diagByFamily  = 20
	diagRequest   = 56
	diagInodeAt   = unix.SizeofNlMsghdr + 68
	diagSocketAt  = unix.SizeofNlMsghdr + 8
	diagNoCookie  = 0xffffffff
	diagAllStates = 0xffffffff
	diagAnswer    = 4096
)

// socketOf returns the kernel's number of the socket at a connection's other end, which
// is on this machine.
func socketOf(taken net.Conn) (uint32, error) {
	theirs, isTCP := taken.RemoteAddr().(*net.TCPAddr)
	ours, alsoTCP := taken.LocalAddr().(*net.TCPAddr)
	if !isTCP || !alsoTCP {
		return 0, errors.New("no connection by TCP")
	}
	descriptor, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, errors.Wrap(err, "open the socket diagnosis")
	}
	defer func() { _ = unix.Close(descriptor) }()
	if err := unix.Sendto(descriptor, diagQuestion(theirs, ours), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, errors.Wrap(err, "ask for a socket")
	}
	answer := make([]byte, diagAnswer)
	length, _, err := unix.Recvfrom(descriptor, answer, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read of a socket")
	}
	if length < diagInodeAt+4 || binary.NativeEndian.Uint16(answer[4:]) != diagByFamily {
		return 0, errors.New("the kernel knows no such socket")
	}
	return binary.NativeEndian.Uint32(answer[diagInodeAt:]), nil
}

// diagQuestion asks for the one socket from an address to another.
func diagQuestion(from, to *net.TCPAddr) []byte {
	question := make([]byte, unix.SizeofNlMsghdr+diagRequest)
	binary.NativeEndian.PutUint32(question, uint32(len(question)))
	binary.NativeEndian.PutUint16(question[4:], diagByFamily)
	binary.NativeEndian.PutUint16(question[6:], unix.NLM_F_REQUEST)
	question[unix.SizeofNlMsghdr] = unix.AF_INET
	question[unix.SizeofNlMsghdr+1] = unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(question[unix.SizeofNlMsghdr+4:], diagAllStates)
	socket := question[diagSocketAt:]
	binary.BigEndian.PutUint16(socket, uint16(from.Port))
	binary.BigEndian.PutUint16(socket[2:], uint16(to.Port))
	copy(socket[4:], from.IP.To4())
	copy(socket[20:], to.IP.To4())
	binary.NativeEndian.PutUint32(socket[40:], diagNoCookie)
	binary.NativeEndian.PutUint32(socket[44:], diagNoCookie)
	return question
}

// holds tells whether a process has a socket open.
func holds(process int, socket uint32) bool {
	directory := fmt.Sprintf("/proc/%d/fd", process)
	open, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	wanted := fmt.Sprintf("socket:[%d]", socket)
	for _, each := range open {
		if target, err := os.Readlink(filepath.Join(directory, each.Name())); err == nil && target == wanted {
			return true
		}
	}
	return false
}
