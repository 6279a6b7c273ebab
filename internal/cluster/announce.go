package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// cellAnnouncedFor is how long an announced cell counts as this node's without
// being announced again.
const cellAnnouncedFor = 15 * time.Second

// loadChange is the part of a cell's slots by which its load must move before
// it is told again (one in loadChange).
const loadChange = 16

// ownCell is a cell that this node announced.
type ownCell struct {
	digest message.CellDigest
	at     time.Time
}

// AnnounceOwned implements Announcer. A change goes to the whole zone and to
// one contact of each other zone at once.
func (c *Cluster) AnnounceOwned(owned []Ownership) {
	streams := slices.Clone(owned)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(streams, c.self.Owned) {
		return
	}
	c.self.Owned = streams
	c.bumpSelf(time.Now())
	c.outdated.Store(true)
	c.pushSoon(true)
}

// AnnounceCell implements Announcer. Announce each cell again within ten
// seconds, changed or not: a cell that is not drops out of the digests. A
// change of engines or models is told at once, a change of load in turn.
func (c *Cluster) AnnounceCell(digest message.CellDigest) {
	now := time.Now()
	digest.Node, digest.Address = c.options.Self.ID, c.options.Self.Address
	c.cells.put(digest, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.own[digest.Cell]
	c.own[digest.Cell] = ownCell{digest: digest, at: now}
	if !known || shapeChanged(before.digest, digest) {
		c.setOwnCells(now)
		c.pushSoon(false)
	}
}

// shapeChanged reports whether more than the load differs.
func shapeChanged(a, b message.CellDigest) bool {
	return a.Engines != b.Engines || a.Slots != b.Slots || !slices.Equal(a.Models, b.Models)
}

func loadChanged(a cellState, b message.CellDigest) bool {
	step := b.Slots/loadChange + 1
	moved := max(a.Running-b.Running, b.Running-a.Running) >= step
	return moved || max(a.Queued-b.Queued, b.Queued-a.Queued) >= step || (a.Queued == 0) != (b.Queued == 0)
}

// refreshCells tells the loads of the own cells, if they moved, and drops
// cells that were not announced again. Called with the lock held.
func (c *Cluster) refreshCells(now time.Time) {
	changed := false
	for id, cell := range c.own {
		if now.Sub(cell.at) > cellAnnouncedFor {
			delete(c.own, id)
			changed = true
			continue
		}
		changed = changed || c.toldLoadChanged(cell.digest)
	}
	if changed {
		c.setOwnCells(now)
	}
}

func (c *Cluster) toldLoadChanged(digest message.CellDigest) bool {
	for _, told := range c.self.Cells {
		if told.Pool == digest.Cell.Pool && told.Index == digest.Cell.Index {
			return loadChanged(told, digest)
		}
	}
	return true
}

// setOwnCells puts the cells into the own record.
func (c *Cluster) setOwnCells(now time.Time) {
	cells := make([]cellState, 0, len(c.own))
	for _, cell := range c.own {
		cells = append(cells, newCellState(cell.digest, c.self.Zone))
	}
	c.self.Cells = cells
	c.bumpSelf(now)
	c.cells.takeRecord(c.self, now)
}

// ObserveCell implements Announcer.
func (c *Cluster) ObserveCell(digest message.CellDigest) { c.cells.put(digest, time.Now()) }

// AnnounceTableRevision implements Announcer; revisions only rise.
func (c *Cluster) AnnounceTableRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.self.Revision {
		return
	}
	c.self.Revision = revision
	c.bumpSelf(time.Now())
	c.outdated.Store(true)
}

// AnnounceLogContact implements Announcer.
func (c *Cluster) AnnounceLogContact(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.logContact) {
		c.logContact = at
	}
}

// AnnounceLeaving implements Announcer.
func (c *Cluster) AnnounceLeaving() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.bumpSelf(now)
	c.node.Leave()
	c.outbox = append(c.outbox, c.takeReady(now)...)
	c.outdated.Store(true)
	c.pushSoon(true)
}

// pushSoon has the loop push the own record; called with the lock held.
func (c *Cluster) pushSoon(far bool) {
	c.urgent = true
	c.urgentFar = c.urgentFar || far
	c.wakeLoop()
}

func (c *Cluster) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// pushAnnouncements sends what may not wait: messages of the membership, the
// own record to all members of the zone and, if it matters there, to one node
// of each other zone, and records from other zones to the members of this one;
// and deaths likewise.
func (c *Cluster) pushAnnouncements(ctx context.Context) {
	c.mu.Lock()
	messages, near := c.outbox, c.forward
	var far []record
	if c.urgent && !c.stopped {
		near = append(near, c.self)
	}
	if c.urgentFar && !c.stopped {
		far = append(far, c.self)
	}
	members, contacts := c.liveMembers(), c.oneContactPerZone()
	deaths, forwardDeaths := c.deaths, c.forwardDeaths
	c.outbox, c.forward, c.deaths, c.forwardDeaths = nil, nil, nil, nil
	c.urgent, c.urgentFar = false, false
	c.mu.Unlock()
	c.dispatch(ctx, messages)
	c.pushRecords(ctx, members, near, false)
	c.pushRecords(ctx, contacts, far, true)
	c.pushDeaths(ctx, contacts, deaths, true)
	c.pushDeaths(ctx, members, forwardDeaths, false)
}
