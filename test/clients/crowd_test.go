//go:build linux

package clients

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxHeaderBytes is the configuration's limit of a header.
	maxHeaderBytes = 16 << 10
	// endlessBytes is what a client sends of something without end.
	endlessBytes = 64 << 10
	// crowdSize is the number of connections of a crowd.
	crowdSize = 250
	// writeTimeout bounds a write to a daemon that does not read.
	writeTimeout = 2 * time.Second
)

// crowd is a set of connections that stay open until the test ends.
type crowd struct {
	mu          sync.Mutex
	connections []net.Conn
}

// gather opens connections to an address at once and sends a payload over each. It returns once everything was sent, or
// could not be sent since the daemon closed the connection or does not read.
func gather(t *testing.T, address string, size int, payload func(member int) string) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.leave)
	var members sync.WaitGroup
	for member := range size {
		members.Go(func() {
			if connection := c.join(address); connection != nil {
				send(connection, payload(member))
			}
		})
	}
	members.Wait()
	return c
}

// gatherAgain keeps a crowd at an address until stop is called: each member comes back at once when its connection is
// closed. The members are as many as size.
func gatherAgain(t *testing.T, address string, size int, payload string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var members sync.WaitGroup
	for range size {
		members.Go(func() {
			for ctx.Err() == nil {
				stayOnce(ctx, address, payload)
			}
		})
	}
	return func() {
		cancel()
		members.Wait()
	}
}

// stayOnce sends a payload on a new connection and stays until the connection is closed.
func stayOnce(ctx context.Context, address, payload string) {
	connection, err := net.DialTimeout("tcp", address, writeTimeout)
	if err != nil {
		return
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	send(connection, payload)
	_, _ = io.Copy(io.Discard, connection)
}

func (c *crowd) join(address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, writeTimeout)
	if err != nil {
		return nil
	}
	// A reset leaves no socket behind that the kernel lists for a minute.
	_ = connection.(*net.TCPConn).SetLinger(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections = append(c.connections, connection)
	return connection
}

func send(connection net.Conn, payload string) {
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(connection, payload)
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
	c.connections = nil
}

// startLine begins a request that a route serves.
const startLine = "POST /lookup/x HTTP/1.1\r\nHost: " + callerHost + "\r\n"

// shortLines returns header lines with distinct short names, of the given size in all.
func shortLines(size int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < size; number++ {
		fmt.Fprintf(&lines, "%s:\r\n", shortName(number))
	}
	return lines.String()
}

// shortName returns the shortest header names, all distinct.
func shortName(number int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for {
		name = letters[number%len(letters):number%len(letters)+1] + name
		number = number/len(letters) - 1
		if number < 0 {
			return name
		}
	}
}

// legalHeader returns a complete header of short lines, within the limits.
func legalHeader(id string, size, contentLength int) string {
	begin := fmt.Sprintf("%sX-Corkpulley-Attempt-Id: %s\r\nContent-Length: %d\r\n", startLine, id, contentLength)
	lines := shortLines(size - len(begin))
	return begin + lines + "\r\n"
}
