// Package faultproxy puts fault-injecting TCP proxies on the links of a
// deployment. It serves benches and tests only; the product has no proxy in it.
//
// Faults are settings that each connection looks up for each chunk of bytes, so
// that setting one never waits for a peer that does not read: deployments are
// struck while their processes are stopped.
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

// Network owns the links of one deployment.
type Network struct {
	mu    sync.Mutex
	links map[string]*Link
}

// NewNetwork returns a network without links.
func NewNetwork() *Network { return &Network{links: map[string]*Link{}} }

// AddLink starts a proxy from listen ("ip:port") to upstream. Nothing need
// listen at upstream yet.
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

// Link returns the link of that name, or nil.
func (n *Network) Link(name string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name]
}

// Close stops all links.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		link.Cut()
	}
}

// Link is one proxied link. Faults of one link may be set by several goroutines.
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

// Name returns the link's name.
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

// Reset closes all connections once; new ones are accepted with the same
// other faults as before.
func (l *Link) Reset() error {
	l.Cut()
	return l.restart()
}

// Stall swallows all bytes in both directions, with connections left open,
// until Restore (which then closes those connections).
func (l *Link) Stall() error {
	l.set(func(set *faults) { set.stalled = [directions]bool{toUpstream: true, toCaller: true} })
	return nil
}

// StallOneWay swallows all bytes towards the caller, with connections left open,
// until Restore: what is sent arrives, and no answer comes back.
func (l *Link) StallOneWay() error {
	l.set(func(set *faults) { set.stalled[toCaller] = true })
	return nil
}

// SetLatency delays both directions by the one-way time; zero removes the delay.
func (l *Link) SetLatency(oneWay time.Duration) error {
	l.set(func(set *faults) { set.latency = max(0, oneWay) })
	return nil
}

// SetBandwidth limits each direction to that many KiB a second.
func (l *Link) SetBandwidth(kibPerSecond int64) error {
	l.set(func(set *faults) { set.bytesPerSecond = kibPerSecond << 10 })
	return nil
}

// Slice cuts the byte stream into writes of the given bytes with a delay between them.
func (l *Link) Slice(bytesEach int64, delay time.Duration) error {
	l.set(func(set *faults) { set.sliceBytes, set.sliceDelay = int(bytesEach), delay })
	return nil
}

// Restore ends all faults of the link, an added latency included.
func (l *Link) Restore() error {
	l.mu.Lock()
	if l.faults.stalled != [directions]bool{} {
		// Bytes are missing in them.
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

func (l *Link) set(change func(*faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// inForce returns the faults in force.
func (l *Link) inForce() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// closeConnections closes the connections there are; mu is held.
func (l *Link) closeConnections() {
	for each := range l.connections {
		each.close()
	}
	clear(l.connections)
}

func (l *Link) restart() error {
	if err := l.listen(); err != nil {
		return errors.Wrapf(err, "restore link %s", l.name)
	}
	return nil
}

// addressPatience bounds the wait for a link's address.
const addressPatience = 2 * time.Second

// addressTries are the delays between tries to listen at it.
var addressTries = retry.Policy{First: time.Millisecond, Longest: 50 * time.Millisecond}

// listen starts to accept connections. A process that this one starts holds a copy of each open
// socket from its fork to its exec, so the address of a listener that was closed
// in between is in use for some milliseconds more.
func (l *Link) listen() error {
	ctx, cancel := context.WithTimeout(context.Background(), addressPatience)
	defer cancel()
	for delays := addressTries.Delays(); ; {
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

// accept serves a new listener, unless another caller has restored the link meanwhile.
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

// serve takes connections until the listener is closed.
func (l *Link) serve(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(listener, caller)
	}
}

// upstreamPatience bounds the wait for a connection to upstream.
const upstreamPatience = 5 * time.Second

// connect relays a caller's connection, unless the link was cut before upstream took it.
func (l *Link) connect(listener net.Listener, caller net.Conn) {
	upstream, err := net.DialTimeout("tcp", l.upstream, upstreamPatience)
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
	go relayed.run(l.inForce, func() { l.forget(relayed) })
}

func (l *Link) forget(ended *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, ended)
}
