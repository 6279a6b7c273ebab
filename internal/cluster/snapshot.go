package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/message"
)

// lostNodeRetention is how long a lost node counts as known.
const lostNodeRetention = 10 * time.Minute

// view is an immutable snapshot of the cluster state.
type view struct {
	self       Member
	members    []Member
	candidates map[string][]Member // by zone; "" holds all
	owners     map[string]ownerEntry
	reachable  int
	known      int
}

type ownerEntry struct {
	member Member
	epoch  int64
}

// Self implements View.
func (c *Cluster) Self() Member { return c.snapshot().self }

// Members implements View.
func (c *Cluster) Members() []Member { return c.snapshot().members }

// Candidates implements View.
func (c *Cluster) Candidates(zone string) []Member {
	return slices.Clip(c.snapshot().candidates[zone])
}

// Owner implements View.
func (c *Cluster) Owner(stream string) (Member, int64, bool) {
	owner, known := c.snapshot().owners[stream]
	return owner.member, owner.epoch, known
}

// Cells implements View.
func (c *Cluster) Cells() []message.CellDigest { return c.cells.all() }

// Reachability implements View.
func (c *Cluster) Reachability() (reachable, known int) {
	snapshot := c.snapshot()
	return snapshot.reachable, snapshot.known
}

// LogContact implements View.
func (c *Cluster) LogContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logContact
}

// snapshot returns the view, rebuilt if it is stale. Rebuilding on read coalesces multiple changes.
func (c *Cluster) snapshot() *view {
	if c.viewStale.Load() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.viewStale.Load() {
			c.publishView()
		}
	}
	return c.view.Load()
}

// publishView rebuilds the view. Must be called with mu held.
func (c *Cluster) publishView() {
	c.viewStale.Store(false)
	now := time.Now()
	next := &view{candidates: make(map[string][]Member), owners: make(map[string]ownerEntry)}
	c.addLocalMembers(next)
	for name, zone := range c.zones {
		if name != c.self.Zone {
			c.addRemoteMembers(next, zone, now)
		}
	}
	slices.SortFunc(next.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, member := range next.members {
		next.addCandidate(member)
		next.addOwned(member)
	}
	c.view.Store(next)
}

// addLocalMembers adds the members of this zone.
func (c *Cluster) addLocalMembers(next *view) {
	records := c.zones[c.self.Zone].records
	for _, update := range c.node.Members() {
		self := update.ID == c.self.ID
		left := update.State == membership.Dead && update.Leaving
		if !left || self {
			next.known++
		}
		if self || update.State == membership.Alive {
			next.reachable++
		}
		if update.State == membership.Dead && !self {
			continue
		}
		member := newMember(records[keyOf(update.ID, update.Writer)])
		member.ID, member.Writer, member.Address, member.Zone = update.ID, update.Writer, update.Address, c.self.Zone
		member.State = memberState(update)
		if self {
			next.self = member
		}
		next.members = append(next.members, member)
	}
}

func memberState(update membership.Update) MemberState {
	switch {
	case update.Leaving:
		return StateLeaving
	case update.State == membership.Suspect:
		return StateSuspect
	default:
		return StateAlive
	}
}

// addRemoteMembers adds the known members of another zone.
func (c *Cluster) addRemoteMembers(next *view, zone *zoneRecords, now time.Time) {
	next.known += len(zone.records) + len(zone.lost)
	if c.zoneReachable(zone, now) {
		next.reachable += len(zone.records)
	}
	if c.zoneLost(zone) {
		return
	}
	for _, held := range zone.records {
		member := newMember(held)
		member.State = StateAlive
		if held.Leaving {
			member.State = StateLeaving
		}
		next.members = append(next.members, member)
	}
}

func newMember(held record) Member {
	return Member{
		ID: held.ID, Writer: held.Writer, Address: held.Address, Zone: held.Zone,
		TableRevision: held.Revision, Owned: held.Owned,
	}
}

// addCandidate adds the member to the candidates if it may accept new work.
func (v *view) addCandidate(member Member) {
	if member.State != StateAlive && member.State != StateSuspect {
		return
	}
	v.candidates[member.Zone] = append(v.candidates[member.Zone], member)
	v.candidates[""] = append(v.candidates[""], member)
}

func (v *view) addOwned(member Member) {
	for _, owned := range member.Owned {
		if held, known := v.owners[owned.Stream]; !known || owned.Epoch > held.epoch {
			v.owners[owned.Stream] = ownerEntry{member: member, epoch: owned.Epoch}
		}
	}
}

// sweep removes expired state. Must be called with mu held.
func (c *Cluster) sweep(now time.Time) {
	for name, zone := range c.zones {
		zone.pruneLost(now.Add(-lostNodeRetention))
		if name != c.self.Zone && now.Sub(zone.updatedAt) > lostNodeRetention {
			delete(c.zones, name)
		}
	}
	c.removeNonMemberRecords()
	c.publishView()
	members := make(map[string]struct{})
	for _, member := range c.view.Load().members {
		members[member.ID] = struct{}{}
	}
	c.cells.retain(func(digest message.CellDigest, at time.Time) bool {
		_, known := members[digest.Node]
		return known || now.Sub(at) < nonMemberCellRetention
	})
}

// removeNonMemberRecords removes the records of this zone whose process is not a live member. Must be called with mu
// held.
func (c *Cluster) removeNonMemberRecords() {
	live := c.liveWriters()
	zone := c.zones[c.self.Zone]
	for key, held := range zone.records {
		if live[held.ID] != held.Writer {
			delete(zone.records, key)
		}
	}
}
