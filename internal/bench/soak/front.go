package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// mostSorted is the most nodes for which the process behind each connection is looked
// up: the files of all of them are gone through for each.
const mostSorted = 24

// front is the address at which a place is listed. It takes the nodes' connections,
// looks up from which node each comes, whatever is said on it, and passes the bytes on
// to the engine from an address of that node, unless the node's way holds them.
type front struct {
	address  string
	upstream string
	// wayOf returns the way of the node at the other end of a connection.
	wayOf func(taken net.Conn) *way

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
}

func newFront(address, upstream string, wayOf func(net.Conn) *way) *front {
	return &front{address: address, upstream: upstream, wayOf: wayOf, open: make(map[net.Conn]bool)}
}

// frontTries paces the tries to listen, frontPatience bounds them: a process that is
// being started holds a copy of each socket for a moment.
var frontTries = retry.Policy{First: time.Millisecond, Longest: 50 * time.Millisecond}

const frontPatience = 2 * time.Second

// listen begins to take connections, unless it does so already.
func (f *front) listen() error {
	if err := untilFree(f.tryListen); err != nil {
		return errors.Wrap(err, "listen for an engine's connections")
	}
	return nil
}

// untilFree tries to listen until the address is free.
func untilFree(listen func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), frontPatience)
	defer cancel()
	for delays := frontTries.Delays(); ; {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || !retry.Sleep(ctx, delays.NextBackOff()) {
			return err
		}
	}
}

func (f *front) tryListen() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.listener = listener
	go f.take(listener)
	return nil
}

// cut ends all connections, and refuses others until listen.
func (f *front) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		_ = f.listener.Close()
		f.listener = nil
	}
	for each := range f.open {
		_ = each.Close()
	}
}

func (f *front) take(listener net.Listener) {
	for {
		taken, err := listener.Accept()
		if err != nil {
			return
		}
		go f.pass(listener, taken)
	}
}

// keep notes an open connection, unless the front was cut since the listener took it.
func (f *front) keep(listener net.Listener, connection net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != listener {
		_ = connection.Close()
		return false
	}
	f.open[connection] = true
	return true
}

// end closes a connection.
func (f *front) end(connection net.Conn) {
	_ = connection.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, connection)
}

// pass passes the bytes of a connection on until both sides are done.
func (f *front) pass(listener net.Listener, taken net.Conn) {
	if !f.keep(listener, taken) {
		return
	}
	defer f.end(taken)
	way := f.wayOf(taken)
	dialer := &net.Dialer{LocalAddr: way.address()}
	engine, err := dialer.Dial("tcp", f.upstream)
	if err != nil || !f.keep(listener, engine) {
		return
	}
	defer f.end(engine)
	var both sync.WaitGroup
	both.Go(func() { way.copy(engine, taken) })
	both.Go(func() { way.copy(taken, engine) })
	both.Wait()
}

// way is one node's way to all engines, and to what takes the platform's calls.
type way struct {
	// node is anyNode where the sender is not known.
	node int

	mu sync.Mutex
	// held counts what holds the bytes, changed is closed with each change.
	held    int
	changed chan struct{}
	// late is how long bytes are on the way.
	late time.Duration
}

func newWay(node int) *way { return &way{node: node, changed: make(chan struct{})} }

// senderFormat makes the address that stands for a node at the engines.
const senderFormat = "127.7.0.%d"

// address is what engines see as the sender's address; nil for any.
func (w *way) address() net.Addr {
	if w.node == anyNode {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf(senderFormat, w.node+1))}
}

// senderAt returns the node that an address stands for; false where it is not known.
func senderAt(address string) (int, bool) {
	var number int
	if _, err := fmt.Sscanf(address, senderFormat, &number); err != nil {
		return 0, false
	}
	return number - 1, true
}

// hold keeps all bytes back, on connections that stay open, until the returned function
// is called; then they arrive.
func (w *way) hold() func() {
	change := func(by int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.held += by
		close(w.changed)
		w.changed = make(chan struct{})
	}
	change(1)
	return func() { change(-1) }
}

// delay sets how long bytes are on the way.
func (w *way) delay(late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = late
}

// travel waits until bytes may arrive.
func (w *way) travel() {
	w.mu.Lock()
	late := w.late
	w.mu.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
	for {
		w.mu.Lock()
		held, changed := w.held > 0, w.changed
		w.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

// copy passes bytes on. Those that were sent before their sender closed arrive.
func (w *way) copy(to, from net.Conn) {
	const chunk = 16 << 10
	buffer := make([]byte, chunk)
	for {
		length, err := from.Read(buffer)
		if length > 0 {
			w.travel()
			if _, failed := to.Write(buffer[:length]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		w.travel()
		if half, can := to.(*net.TCPConn); can && errors.Is(err, io.EOF) {
			_ = half.CloseWrite()
			return
		}
		_, _ = to.Close(), from.Close()
		return
	}
}

// senders knows which node each connection comes from.
type senders struct {
	nodes   []*node
	ways    []*way
	unknown *way
}

// wayOf returns the way of the node that holds the other end of a connection.
func (s *senders) wayOf(taken net.Conn) *way {
	if len(s.nodes) > mostSorted {
		return s.unknown
	}
	socket, err := socketOf(taken)
	if err != nil {
		return s.unknown
	}
	for i, each := range s.nodes {
		if running, _ := each.current(); running != nil && holds(running.ID(), socket) {
			return s.ways[i]
		}
	}
	return s.unknown
}
