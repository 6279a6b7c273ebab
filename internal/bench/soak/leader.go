package soak

import (
	"encoding/binary"
	"net/http"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// leaseTopic is the topic of the lease; its records are those of package core/lease.
const leaseTopic = "corkpulley.lease"

// leaseWrite is a write of a lease record to the store.
type leaseWrite struct {
	// node is the node that the record names, which may differ from the one whose connection it came on.
	node string
	// claim and order are the kind of the record; applied is set if the write took effect.
	claim   bool
	order   bool
	applied bool
}

// readLeaseWrite decodes a write that was answered with the given status. It returns the zero value if the
// write is not a lease record.
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
		node: record.Node, claim: record.Kind == lease.Claim, order: record.Kind == lease.Order, applied: status == http.StatusOK,
	}
}

// leaderTracker tracks the leader as the store sees it: the node whose write to the lease was applied
// last.
type leaderTracker struct {
	mu   sync.Mutex
	node int
	// known is false until the first write.
	known bool
	// selected is the node of the last fault whose aim was not AimTarget; noNode before the first.
	selected int
}

const noNode = -1

func newLeaderTracker() *leaderTracker { return &leaderTracker{selected: noNode} }

// observe records a write that was applied.
func (l *leaderTracker) observe(write leaseWrite) {
	node, isNode := nodeOf(write.node)
	if !isNode {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node, l.known = node, true
}

// selectNode returns the number of the node that a fault affects.
func (l *leaderTracker) selectNode(fault Fault, nodes int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	selected := fault.Target % nodes
	switch {
	case fault.Aim == AimTarget:
		return selected
	case fault.Aim == AimSameNode && l.selected != noNode:
		selected = l.selected
	case l.known:
		selected = l.node
	}
	l.selected = selected
	return selected
}
