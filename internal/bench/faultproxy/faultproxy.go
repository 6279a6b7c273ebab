// Package faultproxy provides fault-injecting TCP proxies for the links of a
// deployment under test. It is used by benchmarks and tests only.
//
// Each connection reads the link's fault settings for each chunk of bytes, so
// changing a setting never blocks on a peer that does not read, such as a
// process stopped by SIGSTOP.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// Network holds the links of one deployment. Its methods are safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	links map[string]*Link
}

// NewNetwork returns a network without links.
func NewNetwork() *Network { return &Network{links: map[string]*Link{}} }

// AddLink starts a proxy from listen ("ip:port") to upstream. The upstream is
// dialed for each accepted connection and need not be listening yet.
func (n *Network) AddLink(name, listen, upstream string) (*Link, error) {
	link := &Link{name: name, address: listen, upstream: upstream, connections: map[*connection]bool{}}
	if err := link.listen(); err != nil {
		return nil, errors.Wrapf(err, "start link %s", name)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[name] = link
	return link, nil
}

// Link returns the link with the given name, or nil.
func (n *Network) Link(name string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name]
}

// Close cuts all links.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		link.Cut()
	}
}

// Link is one proxied link. Its methods are safe for concurrent use.
type Link struct {
	name     string
	address  string
	upstream string

	mu sync.Mutex
	// listener is nil while the link is cut.
	listener    net.Listener
	connections map[*connection]bool
	faults      faults
}

func (l *Link) Name() string { return l.name }

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	l.closeConnections()
}

// Reset closes all connections. New ones are accepted, with the same faults as before.
func (l *Link) Reset() error {
	l.Cut()
	return l.restart()
}

// Stall discards all bytes in both directions and leaves the connections open
// until Restore, which closes them.
func (l *Link) Stall() error {
	l.updateFaults(func(f *faults) { f.stalled = [directions]bool{toUpstream: true, toCaller: true} })
	return nil
}

// StallOneWay discards all bytes sent to the caller and leaves the connections
// open until Restore. Requests reach the upstream, responses are lost.
func (l *Link) StallOneWay() error {
	l.updateFaults(func(f *faults) { f.stalled[toCaller] = true })
	return nil
}

// SetLatency delays each direction by oneWay; zero removes the delay.
func (l *Link) SetLatency(oneWay time.Duration) error {
	l.updateFaults(func(f *faults) { f.latency = max(0, oneWay) })
	return nil
}

// SetBandwidth limits each direction of each connection to kibPerSecond KiB/s.
func (l *Link) SetBandwidth(kibPerSecond int64) error {
	l.updateFaults(func(f *faults) { f.bytesPerSecond = kibPerSecond << 10 })
	return nil
}

// Slice splits the byte stream into writes of at most bytesEach bytes, with a delay after each.
func (l *Link) Slice(bytesEach int64, delay time.Duration) error {
	l.updateFaults(func(f *faults) { f.sliceBytes, f.sliceDelay = int(bytesEach), delay })
	return nil
}

// Restore removes all faults of the link, including its latency, and accepts connections again. It closes the
// connections of a stalled link.
func (l *Link) Restore() error {
	l.mu.Lock()
	if l.faults.stalled != [directions]bool{} {
		// Bytes of these connections may have been discarded.
		l.closeConnections()
	}
	l.faults = faults{}
	cut := l.listener == nil
	l.mu.Unlock()
	if !cut {
		return nil
	}
	return l.restart()
}

func (l *Link) updateFaults(change func(*faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// currentFaults returns a copy of the current fault settings.
func (l *Link) currentFaults() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// closeConnections closes all open connections. Must be called with mu held.
func (l *Link) closeConnections() {
	for each := range l.connections {
		each.close()
	}
	clear(l.connections)
}

func (l *Link) restart() error {
	if err := l.listen(); err != nil {
		return errors.Wrapf(err, "reopen link %s", l.name)
	}
	return nil
}

// listenTimeout bounds the retries while a link's address is in use.
const listenTimeout = 2 * time.Second

// listenRetry sets the delays between attempts to listen.
var listenRetry = retry.Policy{First: time.Millisecond, Longest: 50 * time.Millisecond}

// listen starts to accept connections. It retries while the address is in use:
// a child process inherits open sockets between fork and exec, so the address
// of a closed listener may stay in use for some milliseconds.
func (l *Link) listen() error {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	for delays := listenRetry.Delays(); ; {
		listener, err := net.Listen("tcp", l.address)
		if err == nil {
			l.accept(listener)
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || !retry.Sleep(ctx, delays.NextBackOff()) {
			return err
		}
	}
}

// accept serves a new listener, or closes it if the link is already listening.
func (l *Link) accept(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = listener.Close()
		return
	}
	l.listener, l.address = listener, listener.Addr().String()
	go l.serve(listener)
}

// serve accepts connections until the listener is closed.
func (l *Link) serve(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(listener, caller)
	}
}

// dialTimeout bounds the dial to the upstream.
const dialTimeout = 5 * time.Second

// connect dials the upstream and relays a caller's connection, or closes both if the link was cut meanwhile.
func (l *Link) connect(listener net.Listener, caller net.Conn) {
	upstream, err := net.DialTimeout("tcp", l.upstream, dialTimeout)
	if err != nil {
		_ = caller.Close()
		return
	}
	relayed := newConnection(caller, upstream)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != listener {
		relayed.close()
		return
	}
	l.connections[relayed] = true
	go relayed.run(l.currentFaults, func() { l.removeConnection(relayed) })
}

func (l *Link) removeConnection(closed *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, closed)
}
