package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// ticksPerProbe is the number of membership ticks in a protocol period.
const ticksPerProbe = 5

// Cluster implements View, Announcer and EngineList.
//
// Invariant: mu guards all fields below it, and is never held during a call to another node. Readers use the
// published view and the cell store.
type Cluster struct {
	options Options
	tick    time.Duration
	cells   *cellStore
	view    atomic.Pointer[view]
	// viewStale is set when the state from which the view is built has changed.
	viewStale atomic.Bool
	// wake triggers an immediate push of announcements by Run.
	wake chan struct{}
	// background counts the running tasks and calls to other nodes.
	background sync.WaitGroup

	mu             sync.Mutex
	node           *membership.Node
	random         *rand.Rand
	self           record
	ownCells       map[message.CellID]ownCell
	zones          map[string]*zoneRecords
	writers        map[string]string              // last known writer by member ID, this zone only
	contacts       map[string]map[string]struct{} // addresses by zone
	lastContact    map[string]string              // address that last responded, by zone
	answeredSeeds  map[string]bool                // seeds that have responded
	logContact     time.Time
	engines        engineListState
	schedule       schedule
	pushSelf       bool // push this node's record to all members of the zone
	pushSelfRemote bool // push it to the other zones
	// outbox and forwardRecords are sent to the zone by the next pushAnnouncements.
	outbox         []membership.Message
	forwardRecords []record
	// deaths are notices of this zone to send to other zones; forwardDeaths are notices of other zones to
	// send to this one.
	deaths, forwardDeaths []deathNotice
	stopped               bool

	// superseded is closed when another process has taken over this node's ID.
	superseded chan struct{}
}

// New returns a Cluster and registers its handlers; Run starts it. It panics if Self lacks its ID, Writer,
// Address or Zone.
func New(options Options) *Cluster {
	if options.ProbeInterval <= 0 {
		options.ProbeInterval = DefaultProbeInterval
	}
	if options.Self.Zone == "" {
		panic("cluster: self needs a zone")
	}
	now := time.Now()
	seed := xxhash.Sum64String(options.Self.ID + "\x00" + options.Self.Writer)
	node, err := membership.New(membership.DefaultConfig(membership.Update{
		ID:          options.Self.ID,
		Writer:      options.Self.Writer,
		Address:     options.Self.Address,
		Incarnation: uint64(now.Unix()),
	}, seed))
	if err != nil {
		panic(err)
	}
	c := &Cluster{
		options:       options,
		tick:          options.ProbeInterval / ticksPerProbe,
		cells:         newCellStore(),
		wake:          make(chan struct{}, 1),
		node:          node,
		random:        rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))),
		ownCells:      make(map[message.CellID]ownCell),
		zones:         map[string]*zoneRecords{options.Self.Zone: newZoneRecords()},
		writers:       make(map[string]string),
		contacts:      make(map[string]map[string]struct{}),
		lastContact:   make(map[string]string),
		answeredSeeds: make(map[string]bool),
		superseded:    make(chan struct{}),
	}
	c.self = record{
		ID: options.Self.ID, Writer: options.Self.Writer, Address: options.Self.Address, Zone: options.Self.Zone,
		Revision: options.Self.TableRevision, Owned: slices.Clone(options.Self.Owned),
	}
	c.bumpSelfVersion(now)
	c.publishView()
	c.register()
	return c
}

func (c *Cluster) register() {
	c.options.Registry.HandleCall(peer.MethodProbe, c.handleProbe)
	c.options.Registry.HandleCall(peer.MethodProbeIndirect, c.handleProbeIndirect)
	c.options.Registry.HandleCall(peer.MethodGossip, c.handleGossip)
	if c.options.Registerer != nil {
		c.options.Registerer.MustRegister(&collector{cluster: c})
	}
}

// Run maintains the membership until ctx ends, then returns nil.
func (c *Cluster) Run(ctx context.Context) error {
	defer c.background.Wait()
	c.startSchedule(time.Now())
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
			c.pushAnnouncements(ctx)
		case <-ticker.C:
			now := time.Now()
			c.advance(ctx, now, now.Sub(last))
			last = now
		}
	}
}

// lateTickFactor is the multiple of the tick interval above which a gap between ticks is reported as late.
const lateTickFactor = 3

// advance processes one tick: failure detection, then the scheduled tasks.
func (c *Cluster) advance(ctx context.Context, now time.Time, elapsed time.Duration) {
	c.mu.Lock()
	if elapsed > lateTickFactor*c.tick {
		c.node.ReportLate()
	}
	c.node.Tick()
	messages := c.drainReady(now)
	c.mu.Unlock()
	c.dispatch(ctx, messages)
	c.startDueTasks(ctx, now)
}

// drainReady applies the pending changes of the membership node and returns the messages to send. It must be
// called with mu held, after each input to the membership node.
func (c *Cluster) drainReady(now time.Time) []membership.Message {
	ready := c.node.Ready()
	if len(ready.Changes) > 0 {
		for _, change := range ready.Changes {
			c.handleMemberChange(change, now)
		}
		c.viewStale.Store(true)
	}
	return ready.Messages
}

// handleMemberChange records the member's current process and removes the records and cells of dead or replaced
// processes. Must be called with mu held.
func (c *Cluster) handleMemberChange(change membership.Update, now time.Time) {
	if change.ID == c.self.ID {
		c.checkSuperseded()
		return
	}
	c.options.Logger.Info().Str("id", change.ID).Str("writer", change.Writer).Str("state", change.State.String()).
		Bool("leaving", change.Leaving).Uint64("incarnation", change.Incarnation).Msg("member changed")
	if before, known := c.writers[change.ID]; known && before != change.Writer {
		c.zones[c.self.Zone].remove(keyOf(change.ID, before), now)
		c.cells.removeNode(change.ID)
	}
	c.writers[change.ID] = change.Writer
	if change.State == membership.Dead {
		c.queueDeathNotice(change)
		c.zones[c.self.Zone].remove(keyOf(change.ID, change.Writer), now)
		c.cells.removeNode(change.ID)
		delete(c.writers, change.ID)
	}
}

// checkSuperseded closes superseded if the membership node was superseded. Must be called with mu held.
func (c *Cluster) checkSuperseded() {
	select {
	case <-c.superseded:
	default:
		if c.node.Superseded() {
			c.options.Logger.Error().Str("id", c.self.ID).Msg("another process took over this node's ID")
			close(c.superseded)
		}
	}
}

// Superseded returns a channel that is closed when another process has taken over this node's ID. This process must
// then stop without a leave message, since other nodes would apply the message to the new process.
func (c *Cluster) Superseded() <-chan struct{} { return c.superseded }

// StartedRecently reports whether this process started recently enough to supersede another process with the same ID;
// after that, the other process supersedes it.
func (c *Cluster) StartedRecently() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.CanTakeOver()
}

// bumpSelfVersion gives this node's record a version above all earlier ones, including those of a previous
// process unless the clock was set back.
func (c *Cluster) bumpSelfVersion(now time.Time) {
	c.self.Version = max(c.self.Version+1, uint32(now.Unix()))
	c.zones[c.self.Zone].put(c.self)
}

// Leave announces to the zone that this node has left, and waits until the members have received it or ctx
// ends. It may be called after Run has returned.
func (c *Cluster) Leave(ctx context.Context) error {
	now := time.Now()
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return nil
	}
	c.stopped = true
	c.self.Leaving = true
	c.bumpSelfVersion(now)
	c.node.Stop()
	messages := c.drainReady(now)
	c.mu.Unlock()
	return c.broadcastLeave(ctx, messages)
}

// broadcastLeave sends the final messages. Failed sends to unreachable members are ignored.
func (c *Cluster) broadcastLeave(ctx context.Context, messages []membership.Message) error {
	var pending sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for _, outgoing := range messages {
		pending.Go(func() {
			var response probeResponse
			_ = c.call(ctx, outgoing.ToAddress, peer.MethodProbe,
				&probeRequest{Message: outgoing, Revision: noRevision}, &response)
		})
	}
	pending.Wait()
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "announce leaving to the zone")
	}
	return nil
}

// leaveTimeout limits the time to send the final messages of a leaving node.
const leaveTimeout = 2 * time.Second

// noRevision marks a message that carries no table revision.
const noRevision int64 = -1
