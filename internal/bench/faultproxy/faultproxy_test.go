package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patience bounds waits; stalled is how long a stalled link is watched.
const (
	patience = 20 * time.Second
	stalled  = 100 * time.Millisecond
)

// echoLink returns a link to a server that sends back what it gets.
func echoLink(t *testing.T) *Link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	network := NewNetwork()
	t.Cleanup(network.Close)
	link, err := network.AddLink("echo", "127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, network.Link("echo"), link)
	return link
}

func dial(t *testing.T, link *Link) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", link.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func echo(connection net.Conn, wait time.Duration) error {
	if err := connection.SetDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err := connection.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(connection, make([]byte, 1))
	return err
}

func TestCutAndRestore(t *testing.T) {
	link := echoLink(t)
	connection := dial(t, link)
	assert.NilError(t, echo(connection, patience))
	link.Cut()
	assert.Assert(t, echo(connection, patience) != nil)
	_, err := net.Dial("tcp", link.Address())
	assert.Assert(t, err != nil)
	assert.NilError(t, link.Restore())
	assert.NilError(t, link.Restore())
	assert.NilError(t, echo(dial(t, link), patience))
}

func TestStallSwallowsUntilRestore(t *testing.T) {
	link := echoLink(t)
	assert.NilError(t, link.Stall())
	connection := dial(t, link)
	assert.Assert(t, echo(connection, stalled) != nil)
	assert.NilError(t, link.Restore())
	assert.NilError(t, echo(dial(t, link), patience))
}

func TestLatencyIsAddedBothWays(t *testing.T) {
	link := echoLink(t)
	const oneWay = 20 * time.Millisecond
	assert.NilError(t, link.SetLatency(oneWay))
	assert.NilError(t, link.SetLatency(oneWay))
	connection := dial(t, link)
	started := time.Now()
	assert.NilError(t, echo(connection, patience))
	assert.Assert(t, time.Since(started) >= 2*oneWay)
	assert.NilError(t, link.SetLatency(0))
	assert.NilError(t, echo(dial(t, link), patience))
}

func TestSlowLinksKeepTheBytes(t *testing.T) {
	link := echoLink(t)
	assert.NilError(t, link.SetBandwidth(64))
	assert.NilError(t, link.Slice(1, time.Millisecond))
	assert.NilError(t, echo(dial(t, link), patience))
	assert.NilError(t, link.Reset())
	assert.NilError(t, echo(dial(t, link), patience))
}

// TestRestoreWaitsForItsAddress: another socket holds the link's address for a
// moment, as a process that is just being started does.
func TestRestoreWaitsForItsAddress(t *testing.T) {
	link := echoLink(t)
	link.Cut()
	holder, err := net.Listen("tcp", link.Address())
	assert.NilError(t, err)
	time.AfterFunc(stalled, func() { _ = holder.Close() })
	assert.NilError(t, link.Restore())
	assert.NilError(t, echo(dial(t, link), patience))
}

// TestNewLinkWaitsForItsAddress: the same at its first start.
func TestNewLinkWaitsForItsAddress(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	time.AfterFunc(stalled, func() { _ = holder.Close() })
	network := NewNetwork()
	t.Cleanup(network.Close)
	_, err = network.AddLink("late", holder.Addr().String(), "127.0.0.1:1")
	assert.NilError(t, err)
}

// TestFaultsAreSetBesideAReaderThatStandsStill: bytes to a process that is stopped wait in its connection.
func TestFaultsAreSetBesideAReaderThatStandsStill(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	network := NewNetwork()
	t.Cleanup(network.Close)
	link, err := network.AddLink("unread", "127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	connection := dial(t, link)
	fillUntilBlocked(t, connection)
	done := make(chan error, 1)
	go func() {
		_ = link.SetLatency(time.Millisecond)
		_ = link.StallOneWay()
		_ = link.Stall()
		done <- link.Restore()
	}()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(patience):
		t.Fatal("a fault waits for a peer that does not read")
	}
}

// fillUntilBlocked writes until nothing more is taken.
func fillUntilBlocked(t *testing.T, connection net.Conn) {
	t.Helper()
	block := make([]byte, 1<<20)
	for {
		assert.NilError(t, connection.SetWriteDeadline(time.Now().Add(stalled)))
		if _, err := connection.Write(block); err != nil {
			return
		}
	}
}
