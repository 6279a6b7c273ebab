package soak

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// waitTimeout bounds waits; quietTime is how long nothing may happen.
const (
	waitTimeout = 20 * time.Second
	quietTime   = 100 * time.Millisecond
)

// sink accepts connections behind a proxy and counts the bytes that arrive.
type sink struct {
	senderProxy *senderProxy
	nodePath    *nodePath
	// arrived counts bytes; from is the source address of the newest connection.
	arrived atomic.Int64
	from    atomic.Value
}

func newSink(t *testing.T) *sink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	listed, err := process.FreeAddress()
	assert.NilError(t, err)
	s := &sink{nodePath: newNodePath(4)}
	s.senderProxy = newSenderProxy(listed, listener.Addr().String(), func(net.Conn) *nodePath { return s.nodePath })
	assert.NilError(t, s.senderProxy.listen())
	t.Cleanup(s.senderProxy.cut)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
			s.from.Store(host)
			go func() { _, _ = io.Copy(s, accepted) }()
		}
	}()
	return s
}

// Write implements io.Writer.
func (s *sink) Write(content []byte) (int, error) {
	s.arrived.Add(int64(len(content)))
	return len(content), nil
}

func (s *sink) send(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.senderProxy.address)
	assert.NilError(t, err)
	_, err = connection.Write([]byte("order"))
	assert.NilError(t, err)
	return connection
}

// Held bytes must be delivered although the sender has closed, like those in kernel buffers.
func TestNodePathHoldDeliversAfterSenderCloses(t *testing.T) {
	s := newSink(t)
	release := s.nodePath.hold()
	_ = s.send(t).Close()
	time.Sleep(quietTime)
	assert.Equal(t, s.arrived.Load(), int64(0))
	release()
	testwait.Until(t, "the bytes to arrive", func() bool { return s.arrived.Load() == int64(len("order")) })
}

func TestNodePathDelay(t *testing.T) {
	s := newSink(t)
	s.nodePath.delay(quietTime)
	sent := time.Now()
	_ = s.send(t).Close()
	testwait.Until(t, "the bytes to arrive", func() bool { return s.arrived.Load() > 0 })
	assert.Assert(t, time.Since(sent) >= quietTime)
}

func TestSenderProxySourceAddress(t *testing.T) {
	s := newSink(t)
	_ = s.send(t).Close()
	testwait.Until(t, "the bytes to arrive", func() bool { return s.arrived.Load() > 0 })
	from, _ := s.from.Load().(string)
	node, resolved := nodeAtAddress(from)
	assert.Assert(t, resolved)
	assert.Equal(t, node, s.nodePath.node)
	_, resolved = nodeAtAddress("127.0.0.1")
	assert.Assert(t, !resolved)
}

func TestSenderProxyCutAndListen(t *testing.T) {
	s := newSink(t)
	connection := s.send(t)
	testwait.Until(t, "the bytes to arrive", func() bool { return s.arrived.Load() > 0 })
	s.senderProxy.cut()
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := connection.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = net.Dial("tcp", s.senderProxy.address)
	assert.Assert(t, err != nil)
	assert.NilError(t, s.senderProxy.listen())
	assert.NilError(t, s.senderProxy.listen())
	_ = s.send(t).Close()
	testwait.Until(t, "the bytes to arrive", func() bool { return s.arrived.Load() == 2*int64(len("order")) })
}

// Guards against a hold of a node's path that hides late orders: its bytes are delivered although their sender has reset
// the connection, as an intermediary does that has acknowledged them.
func TestHeldPathDeliversBytesOfResetConnections(t *testing.T) {
	s := newSink(t)
	connection, err := net.Dial("tcp", s.senderProxy.address)
	assert.NilError(t, err)
	_, err = io.WriteString(connection, "first")
	assert.NilError(t, err)
	testwait.Until(t, "the first bytes", func() bool { return s.arrived.Load() == 5 })
	release := s.nodePath.hold()
	_, err = io.WriteString(connection, "held")
	assert.NilError(t, err)
	time.Sleep(quietTime)
	assert.NilError(t, connection.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, connection.Close())
	time.Sleep(quietTime)
	assert.Equal(t, s.arrived.Load(), int64(5))
	release()
	testwait.Until(t, "the held bytes", func() bool { return s.arrived.Load() == 9 })
}
