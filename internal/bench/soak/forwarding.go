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

// maxResolvedNodes is the maximum number of nodes for which the process behind each connection is looked up,
// since the lookup scans the open files of all node processes.
const maxResolvedNodes = 24

// senderProxy listens at the address at which nodes reach an engine or the duties service. It identifies the
// node process behind each connection, regardless of what the process claims, and forwards the bytes from the
// source address assigned to that node, subject to the faults of the node's path.
type senderProxy struct {
	address  string
	upstream string
	// pathOf returns the path of the node at the other end of a connection.
	pathOf func(accepted net.Conn) *nodePath
	// gate holds back the bytes of all senders.
	gate *gate

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
}

func newSenderProxy(address, upstream string, pathOf func(net.Conn) *nodePath) *senderProxy {
	return &senderProxy{address: address, upstream: upstream, pathOf: pathOf, gate: newGate(), open: make(map[net.Conn]bool)}
}

// listenBackoff and listenTimeout control the retries while an address is in use: a child process inherits
// open sockets between fork and exec, so the address of a closed listener may stay in use briefly.
var listenBackoff = retry.Policy{First: time.Millisecond, Longest: 50 * time.Millisecond}

const listenTimeout = 2 * time.Second

// listen starts to accept connections. It does nothing if the proxy already listens.
func (p *senderProxy) listen() error {
	if err := retryUntilFree(p.tryListen); err != nil {
		return errors.Wrap(err, "listen at the address of a sender proxy")
	}
	return nil
}

// retryUntilFree calls listen until the address is free or listenTimeout has passed.
func retryUntilFree(listen func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	for delays := listenBackoff.Delays(); ; {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || !retry.Sleep(ctx, delays.NextBackOff()) {
			return err
		}
	}
}

func (p *senderProxy) tryListen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// cut closes all connections and refuses new ones until listen is called.
func (p *senderProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for each := range p.open {
		_ = each.Close()
	}
}

func (p *senderProxy) accept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(listener, accepted)
	}
}

// track registers an open connection. It closes it instead and returns false if the proxy was cut since
// listener accepted it.
func (p *senderProxy) track(listener net.Listener, connection net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != listener {
		_ = connection.Close()
		return false
	}
	p.open[connection] = true
	return true
}

func (p *senderProxy) closeConnection(connection net.Conn) {
	_ = connection.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, connection)
}

// forward forwards the bytes of a connection until both directions are done.
func (p *senderProxy) forward(listener net.Listener, accepted net.Conn) {
	if !p.track(listener, accepted) {
		return
	}
	defer p.closeConnection(accepted)
	path := p.pathOf(accepted)
	dialer := &net.Dialer{LocalAddr: path.address()}
	upstream, err := dialer.Dial("tcp", p.upstream)
	if err != nil || !p.track(listener, upstream) {
		return
	}
	defer p.closeConnection(upstream)
	var directions sync.WaitGroup
	directions.Go(func() { path.copy(upstream, accepted, p.gate) })
	directions.Go(func() { path.copy(accepted, upstream, p.gate) })
	directions.Wait()
}

// nodePath is one node's network path to all engines and to the duties service.
type nodePath struct {
	// node is anyNode if the sender is not known.
	node int

	// gate holds back the bytes of the path.
	gate *gate

	mu sync.Mutex
	// latency is the delay of each chunk.
	latency time.Duration
}

func newNodePath(node int) *nodePath { return &nodePath{node: node, gate: newGate()} }

// nodeAddressFormat is the format of the source address assigned to a node.
const nodeAddressFormat = "127.7.0.%d"

// address returns the source address that engines see; nil for any.
func (p *nodePath) address() net.Addr {
	if p.node == anyNode {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf(nodeAddressFormat, p.node+1))}
}

// nodeAtAddress returns the node that a source address is assigned to; false if there is none.
func nodeAtAddress(address string) (int, bool) {
	var number int
	if _, err := fmt.Sscanf(address, nodeAddressFormat, &number); err != nil {
		return 0, false
	}
	return number - 1, true
}

// hold holds back all bytes on open connections until the returned function is called; then they are
// delivered.
func (p *nodePath) hold() func() { return p.gate.hold() }

// delay sets the delay of each chunk.
func (p *nodePath) delay(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = latency
}

// awaitDelivery blocks until bytes may be delivered.
func (p *nodePath) awaitDelivery() {
	p.mu.Lock()
	latency := p.latency
	p.mu.Unlock()
	if latency > 0 {
		time.Sleep(latency)
	}
	p.gate.await(nil)
}

// copy forwards bytes in one direction. Bytes sent before the sender closed its connection are still delivered, also
// those that a hold of the node's path delays. Those that the gate holds back are dropped if the sender resets the
// connection meanwhile.
func (p *nodePath) copy(to, from net.Conn, held *gate) {
	stopped := make(chan struct{})
	defer close(stopped)
	incoming := readChunks(from, stopped)
	for chunk := range incoming.chunks {
		p.awaitDelivery()
		if !held.await(incoming.reset) {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
	p.awaitDelivery()
	held.await(incoming.reset)
	if tcp, isTCP := to.(*net.TCPConn); isTCP && !incoming.wasReset() {
		_ = tcp.CloseWrite()
		return
	}
	_, _ = to.Close(), from.Close()
}

// incomingBytes are the bytes that a connection receives.
type incomingBytes struct {
	// chunks is closed at the end of the connection, reset if it was not closed in order.
	chunks chan []byte
	reset  chan struct{}
}

func (b incomingBytes) wasReset() bool {
	select {
	case <-b.reset:
		return true
	default:
		return false
	}
}

// readChunks reads a connection until it ends or stopped is closed.
func readChunks(from net.Conn, stopped <-chan struct{}) incomingBytes {
	const chunkBytes = 16 << 10
	// A reset is noticed only while the reader goes on reading.
	const maxHeldChunks = 64
	incoming := incomingBytes{chunks: make(chan []byte, maxHeldChunks), reset: make(chan struct{})}
	go func() {
		defer close(incoming.chunks)
		for {
			chunk := make([]byte, chunkBytes)
			length, err := from.Read(chunk)
			if err != nil && !errors.Is(err, io.EOF) {
				close(incoming.reset)
			}
			if length > 0 {
				select {
				case incoming.chunks <- chunk[:length]:
				case <-stopped:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	return incoming
}

// pathResolver finds the node that a connection comes from.
type pathResolver struct {
	nodes   []*node
	paths   []*nodePath
	unknown *nodePath
}

// pathOf returns the path of the node whose process holds the other end of a connection.
func (r *pathResolver) pathOf(accepted net.Conn) *nodePath {
	if len(r.nodes) > maxResolvedNodes {
		return r.unknown
	}
	socket, err := peerSocketInode(accepted)
	if err != nil {
		return r.unknown
	}
	for i, each := range r.nodes {
		if running, _ := each.current(); running != nil && processHasSocket(running.ID(), socket) {
			return r.paths[i]
		}
	}
	return r.unknown
}
