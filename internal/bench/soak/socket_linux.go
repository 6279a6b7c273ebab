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

// Layout of the kernel's socket diagnosis messages, linux/inet_diag.h.
const (
	sockDiagByFamily = 20
	inetDiagReqSize  = 56
	inodeOffset      = unix.SizeofNlMsghdr + 68
	socketIDOffset   = unix.SizeofNlMsghdr + 8
	noCookie         = 0xffffffff
	allStates        = 0xffffffff
	maxResponseSize  = 4096
)

// peerSocketInode returns the inode of the socket at the other end of a connection from this machine.
func peerSocketInode(accepted net.Conn) (uint32, error) {
	remote, isTCP := accepted.RemoteAddr().(*net.TCPAddr)
	local, alsoTCP := accepted.LocalAddr().(*net.TCPAddr)
	if !isTCP || !alsoTCP {
		return 0, errors.New("not a TCP connection")
	}
	descriptor, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, errors.Wrap(err, "open a socket diagnosis connection")
	}
	defer func() { _ = unix.Close(descriptor) }()
	if err := unix.Sendto(descriptor, newDiagRequest(remote, local), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, errors.Wrap(err, "request a socket's diagnosis")
	}
	response := make([]byte, maxResponseSize)
	length, _, err := unix.Recvfrom(descriptor, response, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read a socket's diagnosis")
	}
	if length < inodeOffset+4 || binary.NativeEndian.Uint16(response[4:]) != sockDiagByFamily {
		return 0, errors.New("the kernel found no such socket")
	}
	return binary.NativeEndian.Uint32(response[inodeOffset:]), nil
}

// newDiagRequest returns a request for the one socket between two addresses.
func newDiagRequest(from, to *net.TCPAddr) []byte {
	request := make([]byte, unix.SizeofNlMsghdr+inetDiagReqSize)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	request[unix.SizeofNlMsghdr] = unix.AF_INET
	request[unix.SizeofNlMsghdr+1] = unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[unix.SizeofNlMsghdr+4:], allStates)
	socket := request[socketIDOffset:]
	binary.BigEndian.PutUint16(socket, uint16(from.Port))
	binary.BigEndian.PutUint16(socket[2:], uint16(to.Port))
	copy(socket[4:], from.IP.To4())
	copy(socket[20:], to.IP.To4())
	binary.NativeEndian.PutUint32(socket[40:], noCookie)
	binary.NativeEndian.PutUint32(socket[44:], noCookie)
	return request
}

// processHasSocket reports whether a process has a socket with the given inode open.
func processHasSocket(process int, socket uint32) bool {
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
