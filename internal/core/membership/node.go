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
	config     Config
	self       Update
	superseded bool
	ticks      int
	health     int
	random     *rand.Rand
	members    map[string]*member
	ids        []string // keys of members, sorted: iteration must be deterministic
	order      []string // probe order of the current round
	probe      probe
	sequence   uint64
	broadcasts []broadcast
	ready      Ready
}

// New returns a node that knows itself only.
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
	n.self.By = ""
	n.broadcast(n.self)
	return n, nil
}

// Self returns what this node says of itself.
func (n *Node) Self() Update { return n.self }

// Young reports whether this node may still overtake an earlier process of its
// ID instead of being superseded by it.
func (n *Node) Young() bool { return n.ticks < n.config.YoungTicks }

// Superseded reports whether a later process took this node's ID.
func (n *Node) Superseded() bool { return n.superseded }

// Health returns the local health score, 0 (well) to Config.MaxHealth.
func (n *Node) Health() int { return n.health }

// Ready returns what is to be done since the last call.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Tick advances time by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.expireSuspicions()
	n.forgetDead()
	if n.self.State == Dead {
		return
	}
	n.advanceProbe()
	if n.ticks%n.config.DeadProbeTicks == 0 {
		n.probeDead()
	}
}

// ReportLate tells that this process was late itself, so that silence of
// others may be its own fault.
func (n *Node) ReportLate() { n.worsenHealth() }

// Step takes a message from another node.
func (n *Node) Step(message Message) {
	n.Merge(message.Updates)
	switch message.Kind {
	case Ping:
		n.answerPing(message)
	case PingRequest:
		n.relayPing(message)
	case Ack:
		n.takeAck(message)
	}
}

// Merge takes what another node believes.
func (n *Node) Merge(updates []Update) {
	for _, update := range updates {
		if update.valid() {
			n.apply(update)
		}
	}
}

// Leave announces a planned stop. The node goes on with all its duties. A
// superseded one announces nothing: its higher incarnation would count as news
// of the process that took its ID.
func (n *Node) Leave() {
	if n.superseded || n.self.Leaving || n.self.State == Dead {
		return
	}
	n.self.Leaving = true
	n.self.Incarnation++
	n.announceSelf()
	n.pingAll()
}

// Stop announces that the node has left, unless it is superseded; it probes and
// refutes no more.
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

// pingAll tells all nodes at once what this node says of itself.
func (n *Node) pingAll() {
	for _, id := range n.ids {
		if known := n.members[id]; known.update.State != Dead {
			n.ping(known)
		}
	}
}

// Members returns what is believed of all known nodes, the dead ones and this
// one included, sorted by ID.
func (n *Node) Members() []Update {
	updates := make([]Update, 0, len(n.ids)+1)
	for _, id := range n.ids {
		updates = append(updates, n.members[id].update)
	}
	updates = append(updates, n.self)
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.ID, b.ID) })
	return updates
}

// Digest returns a hash of what is believed of the nodes that are not dead.
// Two nodes with equal digests need no exchange.
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

// size counts the nodes that are not dead, this one included.
func (n *Node) size() int {
	count := 1
	for _, m := range n.members {
		if m.update.State != Dead {
			count++
		}
	}
	return count
}

// scale is log10(n+1): how waits and retransmissions grow with the zone.
func (n *Node) scale() float64 { return math.Log10(float64(n.size() + 1)) }

func (n *Node) worsenHealth() { n.health = min(n.health+1, n.config.MaxHealth) }

func (n *Node) improveHealth() { n.health = max(n.health-1, 0) }

// announceSelf passes on a change of this node.
func (n *Node) announceSelf() {
	n.broadcast(n.self)
	n.ready.Changes = append(n.ready.Changes, n.self)
}
