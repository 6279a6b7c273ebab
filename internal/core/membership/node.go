package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// member is another node.
type member struct {
	update Update
	// since is the tick of the last change of state or incarnation.
	since     int
	suspicion *suspicion
}

// Node is the state machine of one node. It is not safe for concurrent use.
type Node struct {
	config      Config
	self        Update
	superseded  bool
	ticks       int
	healthScore int
	random      *rand.Rand
	members     map[string]*member
	ids         []string // sorted keys of members, for deterministic iteration
	probeOrder  []string // remaining targets of the current probe round
	probe       probe
	sequence    uint64
	broadcasts  []broadcast
	ready       Ready
}

// New returns a node whose member list contains only itself.
func New(config Config) (*Node, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config:  config,
		self:    config.Self,
		random:  rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		members: make(map[string]*member),
	}
	n.self.State = Alive
	n.self.SuspectedBy = ""
	n.broadcast(n.self)
	return n, nil
}

// Self returns the update that this node sends about itself.
func (n *Node) Self() Update { return n.self }

// CanTakeOver reports whether this node may still take over its ID from another process instead of being superseded by
// it.
func (n *Node) CanTakeOver() bool { return n.ticks < n.config.TakeoverTicks }

// Superseded reports whether another process has taken over this node's ID.
func (n *Node) Superseded() bool { return n.superseded }

// Health returns the local Lifeguard score, from 0 (healthy) to Config.MaxHealth.
func (n *Node) Health() int { return n.healthScore }

// Ready returns the outputs since the last call.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Tick advances time by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.expireSuspicions()
	n.removeExpired()
	if n.self.State == Dead {
		return
	}
	n.advanceProbe()
	if n.ticks%n.config.DeadProbeTicks == 0 {
		n.probeDead()
	}
}

// ReportLate records that this process ran late, so that missing acks may be its own fault.
func (n *Node) ReportLate() { n.worsenHealth() }

// Step handles a message from another node.
func (n *Node) Step(message Message) {
	n.Merge(message.Updates)
	switch message.Kind {
	case Ping:
		n.handlePing(message)
	case PingRequest:
		n.handlePingRequest(message)
	case Ack:
		n.handleAck(message)
	}
}

// Merge applies the updates of another node. Invalid ones are ignored.
func (n *Node) Merge(updates []Update) {
	for _, update := range updates {
		if update.valid() {
			n.apply(update)
		}
	}
}

// Leave announces a planned stop; the node continues to probe and to answer. A superseded node announces
// nothing, since a higher incarnation would be taken as an update of the process that took over its ID.
func (n *Node) Leave() {
	if n.superseded || n.self.Leaving || n.self.State == Dead {
		return
	}
	n.self.Leaving = true
	n.self.Incarnation++
	n.announceSelf()
	n.pingAll()
}

// Stop announces that the node has left, unless it is superseded. The node stops probing, answering and refuting.
func (n *Node) Stop() {
	if n.self.State == Dead {
		return
	}
	if n.superseded {
		n.self.State = Dead
		return
	}
	n.self.Leaving = true
	n.self.Incarnation++
	n.self.State = Dead
	n.announceSelf()
	n.pingAll()
}

// pingAll sends this node's own update to all live nodes at once, by pings.
func (n *Node) pingAll() {
	for _, id := range n.ids {
		if m := n.members[id]; m.update.State != Dead {
			n.ping(m)
		}
	}
}

// Members returns the updates of all known nodes, including dead ones and this one, sorted by ID.
func (n *Node) Members() []Update {
	updates := make([]Update, 0, len(n.ids)+1)
	for _, id := range n.ids {
		updates = append(updates, n.members[id].update)
	}
	updates = append(updates, n.self)
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.ID, b.ID) })
	return updates
}

// Digest returns a hash of the ID, writer and incarnation of all nodes that are not dead. Nodes with equal digests
// need no full exchange.
func (n *Node) Digest() uint64 {
	digest := xxhash.New()
	var number [8]byte
	for _, update := range n.Members() {
		if update.State == Dead {
			continue
		}
		_, _ = digest.WriteString(update.ID)
		_, _ = digest.WriteString(update.Writer)
		binary.BigEndian.PutUint64(number[:], update.Incarnation)
		_, _ = digest.Write(number[:])
	}
	return digest.Sum64()
}

// size returns the number of nodes that are not dead, including this one.
func (n *Node) size() int {
	count := 1
	for _, m := range n.members {
		if m.update.State != Dead {
			count++
		}
	}
	return count
}

// scale returns log10(n+1), by which timeouts and retransmissions grow with the number of nodes.
func (n *Node) scale() float64 { return math.Log10(float64(n.size() + 1)) }

func (n *Node) worsenHealth() { n.healthScore = min(n.healthScore+1, n.config.MaxHealth) }

func (n *Node) improveHealth() { n.healthScore = max(n.healthScore-1, 0) }

// announceSelf queues a change of this node for gossip.
func (n *Node) announceSelf() {
	n.broadcast(n.self)
	n.ready.Changes = append(n.ready.Changes, n.self)
}
