package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/core/membership"
)

// reportersPerDeath is how many nodes of a zone tell the other zones of a
// death, so that the loss of one of them with the dead does no harm.
const reportersPerDeath = 2

// death tells other zones that a process of a zone is gone. It spares them the
// wait for their next pull; one that is lost, or wrong, is made good by that.
type death struct {
	Zone string
	Key  recordKey
}

// noteDeath has this node report the death if it is among those chosen for it.
// Called with the lock held.
func (c *Cluster) noteDeath(dead membership.Update) {
	if dead.Leaving || !c.chosen(dead.ID, reportersPerDeath) {
		return
	}
	c.deaths = append(c.deaths, death{Zone: c.self.Zone, Key: keyOf(dead.ID, dead.Writer)})
	c.wakeLoop()
}

// chosen reports whether this node is among the count live members of the zone
// that rendezvous hashing prefers for the key. Called with the lock held.
func (c *Cluster) chosen(key string, count int) bool {
	var ids []string
	for _, update := range c.node.Members() {
		if update.State == membership.Alive && !update.Leaving {
			ids = append(ids, update.ID)
		}
	}
	for range min(count, len(ids)) {
		// A new ranking for each: the library's Remove breaks its indexes.
		preferred := rendezvous.New(ids, xxhash.Sum64String).Lookup(key)
		if preferred == c.self.ID {
			return true
		}
		ids = slices.DeleteFunc(ids, func(id string) bool { return id == preferred })
	}
	return false
}

// takeDeaths drops the dead of other zones and returns those that were known;
// called with the lock held. What is said of this zone doesn't count: its own
// membership knows better.
func (c *Cluster) takeDeaths(told []death, now time.Time) (news []death) {
	for _, dead := range told {
		if dead.Zone == c.self.Zone || c.zones[dead.Zone] == nil {
			continue
		}
		if _, known := c.zones[dead.Zone].records[dead.Key]; known {
			c.dropGone(dead.Zone, []recordKey{dead.Key}, now)
			news = append(news, dead)
		}
	}
	return news
}

// pushDeaths sends deaths to the addresses at the same time, in the background.
func (c *Cluster) pushDeaths(ctx context.Context, addresses []string, deaths []death, forward bool) {
	c.push(ctx, addresses, payload{Deaths: deaths}, forward)
}
