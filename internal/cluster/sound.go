package cluster

import (
	"context"
	"sync"
	"time"
)

const (
	// soundAfter is the age of the freshest known log contact from which on
	// all zones are asked at once whether they answer, and soundEvery the time
	// between two such rounds. A node that hears neither the log nor a majority
	// must refuse new work within seconds; the turns of reachFar over many
	// zones would take a minute to tell.
	soundAfter = 4 * time.Second
	soundEvery = 8 * time.Second
	// soundContacts is how many nodes of each zone are asked, enough for a
	// zone of which none answers to count as unreachable.
	soundContacts = failuresUnreachable
)

// soundDue reports whether it is time to ask all zones; called with the lock held.
func (c *Cluster) soundDue(now time.Time) bool {
	if c.logContact.IsZero() || now.Sub(c.logContact) < soundAfter || now.Before(c.schedule.sound) {
		return false
	}
	c.schedule.sound = now.Add(c.jittered(soundEvery))
	return true
}

// soundZones asks a few nodes of each other zone at once. The questions pull
// nothing: the answers tell that the zone can be heard, and its log contact.
func (c *Cluster) soundZones(ctx context.Context) {
	c.mu.Lock()
	asked := make(map[string][]string)
	for _, zone := range c.farZones() {
		addresses := c.contactFirst(zone, c.shuffled(c.addressesOf(zone)))
		asked[zone] = addresses[:min(len(addresses), soundContacts)]
	}
	c.mu.Unlock()
	var calls sync.WaitGroup
	for zone, addresses := range asked {
		for _, address := range addresses {
			calls.Go(func() { c.pullFar(ctx, zone, address, gossipRequest{}) })
		}
	}
	calls.Wait()
}
