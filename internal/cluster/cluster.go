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

// ticksPerProbe divides the protocol period into membership ticks.
const ticksPerProbe = 5

// Cluster implements View, Announcer and EngineList.
//
// Invariant: mu guards all fields below it; no call to another node is made
// with it held. Reads go to the published view and to the cell store.
type Cluster struct {
	options Options
	tick    time.Duration
	cells   *cellStore
	view    atomic.Pointer[view]
	// outdated is set when something changed that the view is made of.
	outdated atomic.Bool
	// wake makes the loop push announcements at once.
	wake  chan struct{}
	calls sync.WaitGroup

	mu         sync.Mutex
	node       *membership.Node
	random     *rand.Rand
	self       record
	own        map[message.CellID]ownCell
	zones      map[string]*zoneRecords
	writers    map[string]string              // last known writer of each member of the zone
	contacts   map[string]map[string]struct{} // addresses by zone
	farContact map[string]string              // last address that answered, by zone
	heardSeeds map[string]bool                // seeds that answered
	logContact time.Time
	engines    engineState
	schedule   schedule
	urgent     bool // the own record is to be pushed to the whole zone
	urgentFar  bool // and to the other zones
	// outbox and forward wait for the loop to send them to the zone.
	outbox  []membership.Message
	forward []record
	// deaths of this zone wait to be told to the others, forwardDeaths of
	// other zones to this one.
	deaths, forwardDeaths []death
	stopped               bool

	// superseded is closed once another process has taken this node's ID.
	superseded chan struct{}
}

// New returns a cluster and registers its handlers; Run starts it. It panics
// when Self lacks its ID, Writer, Address or Zone.
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
		options:    options,
		tick:       options.ProbeInterval / ticksPerProbe,
		cells:      newCellStore(),
		wake:       make(chan struct{}, 1),
		node:       node,
		random:     rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))),
		own:        make(map[message.CellID]ownCell),
		zones:      map[string]*zoneRecords{options.Self.Zone: newZoneRecords()},
		writers:    make(map[string]string),
		contacts:   make(map[string]map[string]struct{}),
		farContact: make(map[string]string),
		heardSeeds: make(map[string]bool),
		superseded: make(chan struct{}),
	}
	c.self = record{
		ID: options.Self.ID, Writer: options.Self.Writer, Address: options.Self.Address, Zone: options.Self.Zone,
		Revision: options.Self.TableRevision, Owned: slices.Clone(options.Self.Owned),
	}
	c.bumpSelf(now)
	c.publish()
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

// Run keeps the membership until ctx ends; it returns nil then.
func (c *Cluster) Run(ctx context.Context) error {
	defer c.calls.Wait()
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

// lateFactor is how many ticks may pass between two before this process
// counts as late.
const lateFactor = 3

// advance does what is due at a tick.
func (c *Cluster) advance(ctx context.Context, now time.Time, elapsed time.Duration) {
	c.mu.Lock()
	if elapsed > lateFactor*c.tick {
		c.node.ReportLate()
	}
	c.node.Tick()
	messages := c.takeReady(now)
	c.mu.Unlock()
	c.dispatch(ctx, messages)
	c.runDue(ctx, now)
}

// takeReady is called with the lock held, after each input to the membership
// node; it returns the messages to send.
func (c *Cluster) takeReady(now time.Time) []membership.Message {
	ready := c.node.Ready()
	if len(ready.Changes) > 0 {
		for _, change := range ready.Changes {
			c.memberChanged(change, now)
		}
		c.outdated.Store(true)
	}
	return ready.Messages
}

// memberChanged drops what a replaced or dead process said.
func (c *Cluster) memberChanged(change membership.Update, now time.Time) {
	if change.ID == c.self.ID {
		c.noteSuperseded()
		return
	}
	c.options.Logger.Info().Str("id", change.ID).Str("writer", change.Writer).Str("state", change.State.String()).
		Bool("leaving", change.Leaving).Uint64("incarnation", change.Incarnation).Msg("member changed")
	if before, known := c.writers[change.ID]; known && before != change.Writer {
		c.zones[c.self.Zone].remove(keyOf(change.ID, before), now)
		c.cells.forgetNode(change.ID)
	}
	c.writers[change.ID] = change.Writer
	if change.State == membership.Dead {
		c.noteDeath(change)
		c.zones[c.self.Zone].remove(keyOf(change.ID, change.Writer), now)
		c.cells.forgetNode(change.ID)
		delete(c.writers, change.ID)
	}
}

// noteSuperseded closes superseded once; called with the lock held.
func (c *Cluster) noteSuperseded() {
	select {
	case <-c.superseded:
	default:
		if c.node.Superseded() {
			c.options.Logger.Error().Str("id", c.self.ID).Msg("another process took this node's ID")
			close(c.superseded)
		}
	}
}

// Superseded returns a channel that is closed once another process has taken
// this node's ID. The others then no longer listen to this process, so it has
// to stop; its planned stop tells them nothing, as they would take it for news
// of the other process.
func (c *Cluster) Superseded() <-chan struct{} { return c.superseded }

// Young reports whether this process started so recently that it would still
// overtake another process of its ID; later it ends when it meets one.
func (c *Cluster) Young() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Young()
}

// bumpSelf gives the own record a version above all earlier ones, also those
// of an earlier process when the clock allows.
func (c *Cluster) bumpSelf(now time.Time) {
	c.self.Version = max(c.self.Version+1, uint32(now.Unix()))
	c.zones[c.self.Zone].put(c.self)
}

// Leave tells the zone that this node has left and waits until the others
// have heard it or ctx ends. Run may have ended before.
func (c *Cluster) Leave(ctx context.Context) error {
	now := time.Now()
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return nil
	}
	c.stopped = true
	c.self.Leaving = true
	c.bumpSelf(now)
	c.node.Stop()
	messages := c.takeReady(now)
	c.mu.Unlock()
	return c.tellLeft(ctx, messages)
}

// tellLeft sends the last messages; members that can't be reached don't matter.
func (c *Cluster) tellLeft(ctx context.Context, messages []membership.Message) error {
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
		return errors.Wrap(ctx.Err(), "tell the zone of leaving")
	}
	return nil
}

// leaveTimeout bounds the last messages of a leaving node.
const leaveTimeout = 2 * time.Second

// noRevision in a message tells nothing about the table.
const noRevision int64 = -1
