package scale

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// frameHeader is the size of a peer frame's header in bytes.
	frameHeader = 9
	// methodLength is the byte that gives the length of a method's name.
	methodLength = 1
	// packetHeader is an IPv4 and a TCP header with timestamps, in bytes.
	packetHeader = 52
	// segmentSize is the payload of a full TCP segment with such headers.
	segmentSize = 1448
	// connectionPackets open and close a connection (three and four), and
	// helloSize is about the first frame on it.
	connectionPackets = 7
	helloSize         = 45
	// idleLimit is how long the transport keeps an unused connection.
	idleLimit = 60 * time.Second
	// httpRequest and httpAnswer are about the headers of one exchange with a
	// platform service, in bytes.
	httpRequest = 220
	httpAnswer  = 160
)

// Classes of traffic that are no method of the peer protocol.
const (
	classConnections peer.Method = "connections"
	classLog         peer.Method = "platform-log"
	classMachines    peer.Method = "platform-machines"
	classStore       peer.Method = "platform-weights"
)

// counter counts the messages of one class.
type counter struct {
	messages atomic.Uint64
	// payload is what the transport sends, wire adds the packets' headers and
	// bare acknowledgements; both in bytes.
	payload, wire atomic.Uint64
}

// traffic counts what all nodes together send, by class.
type traffic struct {
	mu      sync.RWMutex
	classes map[peer.Method]*counter
}

func newTraffic() *traffic { return &traffic{classes: make(map[peer.Method]*counter)} }

func (t *traffic) class(name peer.Method) *counter {
	t.mu.RLock()
	found := t.classes[name]
	t.mu.RUnlock()
	if found != nil {
		return found
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.classes[name] == nil {
		t.classes[name] = &counter{}
	}
	return t.classes[name]
}

// add counts one message of the size in bytes.
func (t *traffic) add(class peer.Method, size, packets int) {
	counted := t.class(class)
	counted.messages.Add(1)
	counted.payload.Add(uint64(size))
	counted.wire.Add(uint64(size + packets*packetHeader))
}

// request counts one request of a call.
func (t *traffic) request(method peer.Method, body int) {
	size := frameHeader + methodLength + len(method) + body
	t.add(method, size, segments(size))
}

// response counts one answer, with the bare acknowledgement that follows it;
// the answer itself acknowledges the request.
func (t *traffic) response(method peer.Method, body int) {
	size := frameHeader + body
	t.add(method, size, segments(size)+1)
}

// connection counts the packets that open and close a connection.
func (t *traffic) connection() { t.add(classConnections, 2*helloSize, connectionPackets) }

// platform counts one exchange with a platform service, both ways.
func (t *traffic) platform(class peer.Method, sent, received int) {
	t.add(class, httpRequest+sent, segments(httpRequest+sent))
	t.add(class, httpAnswer+received, segments(httpAnswer+received)+1)
}

func segments(size int) int { return (size + segmentSize - 1) / segmentSize }

// Count is what was counted of one class of messages.
type Count struct {
	Messages uint64 `json:"messages"`
	Payload  uint64 `json:"payload_bytes"`
	Wire     uint64 `json:"wire_bytes"`
}

func (c Count) minus(before Count) Count {
	return Count{
		Messages: c.Messages - before.Messages,
		Payload:  c.Payload - before.Payload,
		Wire:     c.Wire - before.Wire,
	}
}

// counts returns the sums so far.
func (t *traffic) counts() map[peer.Method]Count {
	t.mu.RLock()
	defer t.mu.RUnlock()
	counts := make(map[peer.Method]Count, len(t.classes))
	for name, counted := range t.classes {
		counts[name] = Count{
			Messages: counted.messages.Load(),
			Payload:  counted.payload.Load(),
			Wire:     counted.wire.Load(),
		}
	}
	return counts
}

// links remembers when a node last used its connection to each peer.
type links struct {
	mu   sync.Mutex
	used map[string]time.Time
}

// use notes a use, and counts a new connection where the old one was idle.
func (l *links) use(counted *traffic, address string) {
	now := time.Now()
	l.mu.Lock()
	last, known := l.used[address]
	if l.used == nil {
		l.used = make(map[string]time.Time)
	}
	l.used[address] = now
	l.mu.Unlock()
	if !known || now.Sub(last) > idleLimit {
		counted.connection()
	}
}
