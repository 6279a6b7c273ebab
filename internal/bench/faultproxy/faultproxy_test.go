package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout bounds waits for expected events. shortWait is the timeout of calls that are expected to time out, and how
// long a test keeps an address in use.
const (
	waitTimeout = 20 * time.Second
	shortWait   = 100 * time.Millisecond
)

// echoLink returns a link to an echo server.
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

func roundTrip(connection net.Conn, wait time.Duration) error {
	if err := connection.SetDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err := connection.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(connection, make([]byte, 1))
	return err
}

func TestLinkCutClosesConnectionsUntilRestore(t *testing.T) {
	link := echoLink(t)
	connection := dial(t, link)
	assert.NilError(t, roundTrip(connection, waitTimeout))
	link.Cut()
	assert.Assert(t, roundTrip(connection, waitTimeout) != nil)
	_, err := net.Dial("tcp", link.Address())
	assert.Assert(t, err != nil)
	assert.NilError(t, link.Restore())
	assert.NilError(t, link.Restore())
	assert.NilError(t, roundTrip(dial(t, link), waitTimeout))
}

func TestLinkStallDiscardsBytesUntilRestore(t *testing.T) {
	link := echoLink(t)
	assert.NilError(t, link.Stall())
	connection := dial(t, link)
	assert.Assert(t, roundTrip(connection, shortWait) != nil)
	assert.NilError(t, link.Restore())
	assert.NilError(t, roundTrip(dial(t, link), waitTimeout))
}

func TestLinkLatencyDelaysBothDirections(t *testing.T) {
	link := echoLink(t)
	const oneWay = 20 * time.Millisecond
	assert.NilError(t, link.SetLatency(oneWay))
	assert.NilError(t, link.SetLatency(oneWay))
	connection := dial(t, link)
	started := time.Now()
	assert.NilError(t, roundTrip(connection, waitTimeout))
	assert.Assert(t, time.Since(started) >= 2*oneWay)
	assert.NilError(t, link.SetLatency(0))
	assert.NilError(t, roundTrip(dial(t, link), waitTimeout))
}

func TestLinkBandwidthAndSlicingDeliverAllBytes(t *testing.T) {
	link := echoLink(t)
	assert.NilError(t, link.SetBandwidth(64))
	assert.NilError(t, link.Slice(1, time.Millisecond))
	assert.NilError(t, roundTrip(dial(t, link), waitTimeout))
	assert.NilError(t, link.Reset())
	assert.NilError(t, roundTrip(dial(t, link), waitTimeout))
}

// Restore must not fail while a child process between fork and exec still holds the link's address.
func TestRestoreRetriesWhenAddressInUse(t *testing.T) {
	link := echoLink(t)
	link.Cut()
	holder, err := net.Listen("tcp", link.Address())
	assert.NilError(t, err)
	time.AfterFunc(shortWait, func() { _ = holder.Close() })
	assert.NilError(t, link.Restore())
	assert.NilError(t, roundTrip(dial(t, link), waitTimeout))
}

// AddLink must not fail while another socket briefly holds the link's address.
func TestAddLinkRetriesWhenAddressInUse(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	time.AfterFunc(shortWait, func() { _ = holder.Close() })
	network := NewNetwork()
	t.Cleanup(network.Close)
	_, err = network.AddLink("late", holder.Addr().String(), "127.0.0.1:1")
	assert.NilError(t, err)
}

// Setting a fault must not block while bytes queue up for an upstream that does not read.
func TestSetFaultsDoesNotBlockOnStoppedReader(t *testing.T) {
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
	case <-time.After(waitTimeout):
		t.Fatal("setting a fault blocked on a peer that does not read")
	}
}

// fillUntilBlocked writes until a write times out.
func fillUntilBlocked(t *testing.T, connection net.Conn) {
	t.Helper()
	block := make([]byte, 1<<20)
	for {
		assert.NilError(t, connection.SetWriteDeadline(time.Now().Add(shortWait)))
		if _, err := connection.Write(block); err != nil {
			return
		}
	}
}
