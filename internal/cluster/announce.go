package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// cellAnnounceTimeout is the time after which a cell that is not announced again is dropped.
const cellAnnounceTimeout = 15 * time.Second

// loadChangeDivisor sets the minimum load change that is announced: slots / loadChangeDivisor.
const loadChangeDivisor = 16

// ownCell is the last digest of a cell announced by this node.
type ownCell struct {
	digest      message.CellDigest
	announcedAt time.Time
}

// AnnounceOwnedStreams implements Announcer. Changes are pushed immediately to all members of the zone and to one
// contact of each other zone.
func (c *Cluster) AnnounceOwnedStreams(owned []Ownership) {
	streams := slices.Clone(owned)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(streams, c.self.Owned) {
		return
	}
	c.self.Owned = streams
	c.bumpSelfVersion(time.Now())
	c.viewStale.Store(true)
	c.requestPush(true)
}

// AnnounceCell implements Announcer. Changes of engines, slots or models are pushed immediately, load
// changes with the next refresh.
func (c *Cluster) AnnounceCell(digest message.CellDigest) {
	now := time.Now()
	digest.Node, digest.Address = c.options.Self.ID, c.options.Self.Address
	c.cells.add(digest, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.ownCells[digest.Cell]
	c.ownCells[digest.Cell] = ownCell{digest: digest, announcedAt: now}
	if !known || capacityChanged(before.digest, digest) {
		c.setOwnCells(now)
		c.requestPush(false)
	}
}

// capacityChanged reports whether the digests differ in engines, slots or models.
func capacityChanged(a, b message.CellDigest) bool {
	return a.Engines != b.Engines || a.Slots != b.Slots || !slices.Equal(a.Models, b.Models)
}

// loadChanged reports whether the load differs by at least the announced minimum, or the queue became empty or
// non-empty.
func loadChanged(a cellState, b message.CellDigest) bool {
	minChange := b.Slots/loadChangeDivisor + 1
	runningChanged := max(a.Running-b.Running, b.Running-a.Running) >= minChange
	return runningChanged || max(a.Queued-b.Queued, b.Queued-a.Queued) >= minChange || (a.Queued == 0) != (b.Queued == 0)
}

// refreshOwnCells updates this node's record if cell loads have changed, and drops cells whose announcement has
// expired. Must be called with mu held.
func (c *Cluster) refreshOwnCells(now time.Time) {
	changed := false
	for id, cell := range c.ownCells {
		if now.Sub(cell.announcedAt) > cellAnnounceTimeout {
			delete(c.ownCells, id)
			changed = true
			continue
		}
		changed = changed || c.announcedLoadChanged(cell.digest)
	}
	if changed {
		c.setOwnCells(now)
	}
}

func (c *Cluster) announcedLoadChanged(digest message.CellDigest) bool {
	for _, announced := range c.self.Cells {
		if announced.Pool == digest.Cell.Pool && announced.Index == digest.Cell.Index {
			return loadChanged(announced, digest)
		}
	}
	return true
}

// setOwnCells updates the cells in this node's record. Must be called with mu held.
func (c *Cluster) setOwnCells(now time.Time) {
	cells := make([]cellState, 0, len(c.ownCells))
	for _, cell := range c.ownCells {
		cells = append(cells, newCellState(cell.digest, c.self.Zone))
	}
	c.self.Cells = cells
	c.bumpSelfVersion(now)
	c.cells.mergeRecord(c.self, now)
}

// ObserveCell implements Announcer.
func (c *Cluster) ObserveCell(digest message.CellDigest) { c.cells.add(digest, time.Now()) }

// AnnounceTableRevision implements Announcer. Revisions that are not higher than the current one are
// ignored.
func (c *Cluster) AnnounceTableRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.self.Revision {
		return
	}
	c.self.Revision = revision
	c.bumpSelfVersion(time.Now())
	c.viewStale.Store(true)
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
	c.bumpSelfVersion(now)
	c.node.Leave()
	c.outbox = append(c.outbox, c.drainReady(now)...)
	c.viewStale.Store(true)
	c.requestPush(true)
}

// requestPush schedules a push of this node's record to its zone, and to the other zones if remote is set. Must be
// called with mu held.
func (c *Cluster) requestPush(remote bool) {
	c.pushSelf = true
	c.pushSelfRemote = c.pushSelfRemote || remote
	c.wakeLoop()
}

func (c *Cluster) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// pushAnnouncements sends the queued membership messages, pushes this node's record to the zone and, if requested, to
// one contact of each other zone, sends death notices to these contacts, and forwards records and death notices of
// other zones within this one.
func (c *Cluster) pushAnnouncements(ctx context.Context) {
	c.mu.Lock()
	messages, local := c.outbox, c.forwardRecords
	var remote []record
	if c.pushSelf && !c.stopped {
		local = append(local, c.self)
	}
	if c.pushSelfRemote && !c.stopped {
		remote = append(remote, c.self)
	}
	members, contacts := c.liveMembers(), c.oneContactPerZone()
	deaths, forwardDeaths := c.deaths, c.forwardDeaths
	c.outbox, c.forwardRecords, c.deaths, c.forwardDeaths = nil, nil, nil, nil
	c.pushSelf, c.pushSelfRemote = false, false
	c.mu.Unlock()
	c.dispatch(ctx, messages)
	c.pushRecords(ctx, members, local, false)
	c.pushRecords(ctx, contacts, remote, true)
	c.pushDeaths(ctx, contacts, deaths, true)
	c.pushDeaths(ctx, members, forwardDeaths, false)
}
