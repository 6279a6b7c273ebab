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

// patience bounds waits; quiet is how long nothing is to happen.
const (
	patience = 20 * time.Second
	quiet    = 100 * time.Millisecond
)

// sink takes connections behind a front and counts what arrives.
type sink struct {
	front *front
	way   *way
	// arrived counts the bytes, from is where the newest connection came from.
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
	s := &sink{way: newWay(4)}
	s.front = newFront(listed, listener.Addr().String(), func(net.Conn) *way { return s.way })
	assert.NilError(t, s.front.listen())
	t.Cleanup(s.front.cut)
	go func() {
		for {
			taken, err := listener.Accept()
			if err != nil {
				return
			}
			host, _, _ := net.SplitHostPort(taken.RemoteAddr().String())
			s.from.Store(host)
			go func() { _, _ = io.Copy(s, taken) }()
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
	connection, err := net.Dial("tcp", s.front.address)
	assert.NilError(t, err)
	_, err = connection.Write([]byte("order"))
	assert.NilError(t, err)
	return connection
}

// TestHeldBytesArriveAfterTheirSenderHasGone: as those in a kernel's buffers do.
func TestHeldBytesArriveAfterTheirSenderHasGone(t *testing.T) {
	s := newSink(t)
	release := s.way.hold()
	_ = s.send(t).Close()
	time.Sleep(quiet)
	assert.Equal(t, s.arrived.Load(), int64(0))
	release()
	testwait.Until(t, "the bytes arrive", func() bool { return s.arrived.Load() == int64(len("order")) })
}

func TestLateBytesArriveLate(t *testing.T) {
	s := newSink(t)
	s.way.delay(quiet)
	sent := time.Now()
	_ = s.send(t).Close()
	testwait.Until(t, "the bytes arrive", func() bool { return s.arrived.Load() > 0 })
	assert.Assert(t, time.Since(sent) >= quiet)
}

func TestFrontTellsWhoseBytesArrive(t *testing.T) {
	s := newSink(t)
	_ = s.send(t).Close()
	testwait.Until(t, "the bytes arrive", func() bool { return s.arrived.Load() > 0 })
	from, _ := s.from.Load().(string)
	node, told := senderAt(from)
	assert.Assert(t, told)
	assert.Equal(t, node, s.way.node)
	_, told = senderAt("127.0.0.1")
	assert.Assert(t, !told)
}

func TestCutFrontRefusesAndComesBack(t *testing.T) {
	s := newSink(t)
	connection := s.send(t)
	testwait.Until(t, "the bytes arrive", func() bool { return s.arrived.Load() > 0 })
	s.front.cut()
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(patience)))
	_, err := connection.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = net.Dial("tcp", s.front.address)
	assert.Assert(t, err != nil)
	assert.NilError(t, s.front.listen())
	assert.NilError(t, s.front.listen())
	_ = s.send(t).Close()
	testwait.Until(t, "the bytes arrive", func() bool { return s.arrived.Load() == 2*int64(len("order")) })
}
