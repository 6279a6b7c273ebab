package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/core/membership"
)

// reportersPerDeath is the number of nodes that report a death to other zones; more than one, in case a
// reporter fails too.
const reportersPerDeath = 2

// deathNotice makes other zones remove a dead process without waiting for their next pull. That pull corrects lost
// or wrong notices.
type deathNotice struct {
	Zone string
	Key  recordKey
}

// queueDeathNotice queues a notice unless the node left by a planned shutdown or other nodes are designated to report
// its death. Must be called with mu held.
func (c *Cluster) queueDeathNotice(dead membership.Update) {
	if dead.Leaving || !c.isDesignated(dead.ID, reportersPerDeath) {
		return
	}
	c.deaths = append(c.deaths, deathNotice{Zone: c.self.Zone, Key: keyOf(dead.ID, dead.Writer)})
	c.wakeLoop()
}

// isDesignated reports whether this node is among the first count live members of the zone by rendezvous
// hashing of the key. Must be called with mu held.
func (c *Cluster) isDesignated(key string, count int) bool {
	var ids []string
	for _, update := range c.node.Members() {
		if update.State == membership.Alive && !update.Leaving {
			ids = append(ids, update.ID)
		}
	}
	for range min(count, len(ids)) {
		// The ranking is rebuilt for each node, since Rendezvous.Remove corrupts the library's node indexes.
		preferred := rendezvous.New(ids, xxhash.Sum64String).Lookup(key)
		if preferred == c.self.ID {
			return true
		}
		ids = slices.DeleteFunc(ids, func(id string) bool { return id == preferred })
	}
	return false
}

// applyDeaths removes dead processes of other zones and returns the notices that were new. Notices about
// this zone are ignored, since its own failure detection is authoritative. Must be called with mu held.
func (c *Cluster) applyDeaths(notices []deathNotice, now time.Time) (accepted []deathNotice) {
	for _, dead := range notices {
		if dead.Zone == c.self.Zone || c.zones[dead.Zone] == nil {
			continue
		}
		if _, known := c.zones[dead.Zone].records[dead.Key]; known {
			c.removeGone(dead.Zone, []recordKey{dead.Key}, now)
			accepted = append(accepted, dead)
		}
	}
	return accepted
}

// pushDeaths sends death notices to the addresses concurrently, in the background.
func (c *Cluster) pushDeaths(ctx context.Context, addresses []string, deaths []deathNotice, forward bool) {
	c.push(ctx, addresses, payload{Deaths: deaths}, forward)
}
