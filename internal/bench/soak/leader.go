package soak

import (
	"encoding/binary"
	"net/http"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// leaseTopic is where the nodes keep the lease; its records are those of core/lease.
const leaseTopic = "corkpulley.lease"

// leaseWrite is a write to the store as far as the lease goes.
type leaseWrite struct {
	// node is the machine that the record names: it may come by way of another one.
	node string
	// claim and order tell what the record is, took whether it took effect.
	claim bool
	order bool
	took  bool
}

// readLeaseWrite reads a write that got the given status; zero where it is not about
// the lease.
func readLeaseWrite(r *http.Request, body []byte, status int) leaseWrite {
	const lengthBytes = 4
	query := r.URL.Query()
	if query.Get("topic") != leaseTopic || len(body) < lengthBytes {
		return leaseWrite{}
	}
	length := int(binary.BigEndian.Uint32(body))
	var record lease.Record
	if len(body) < lengthBytes+length || msgpack.Unmarshal(body[lengthBytes:lengthBytes+length], &record) != nil {
		return leaseWrite{}
	}
	return leaseWrite{
		node: record.Node, claim: record.Kind == lease.Claim, order: record.Kind == lease.Order, took: status == http.StatusOK,
	}
}

// leaderSeen is the node that leads, as the store sees it: the last one whose write to
// the lease took effect.
type leaderSeen struct {
	mu   sync.Mutex
	node int
	// known is false until the first write.
	known bool
	// struck is the node that a fault with an aim struck last; none before the first.
	struck int
}

const noNode = -1

func newLeaderSeen() *leaderSeen { return &leaderSeen{struck: noNode} }

// wrote takes note of a write that took effect.
func (l *leaderSeen) wrote(write leaseWrite) {
	node, isNode := nodeOf(write.node)
	if !isNode {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node, l.known = node, true
}

// aim returns the number of the node that a fault strikes.
func (l *leaderSeen) aim(fault Fault, nodes int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	struck := fault.Target % nodes
	switch {
	case fault.Aim == AimNumber:
		return struck
	case fault.Aim == AimSame && l.struck != noNode:
		struck = l.struck
	case l.known:
		struck = l.node
	}
	l.struck = struck
	return struck
}
