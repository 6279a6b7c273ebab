package cluster

import (
	"context"
	"sync"
	"time"
)

const (
	// zoneCheckAfter is the age of the most recent log contact from which all zones are checked concurrently;
	// zoneCheckInterval is the time between checks. A node that reaches neither the log nor a majority must
	// reject new work within seconds, but the regular remote pulls take up to a minute to visit many zones.
	zoneCheckAfter    = 4 * time.Second
	zoneCheckInterval = 8 * time.Second
	// zoneCheckContacts is the number of nodes contacted in each zone. If all fail, the zone counts as
	// unreachable.
	zoneCheckContacts = zoneUnreachableFailures
)

// zoneCheckDue reports whether a zone check is due and, if so, schedules the next. Must be called with mu
// held.
func (c *Cluster) zoneCheckDue(now time.Time) bool {
	if c.logContact.IsZero() || now.Sub(c.logContact) < zoneCheckAfter || now.Before(c.schedule.zoneCheck) {
		return false
	}
	c.schedule.zoneCheck = now.Add(c.jittered(zoneCheckInterval))
	return true
}

// checkZones contacts several nodes of each other zone concurrently. The requests pull no records; the
// responses show that the zone is reachable and carry its log contact.
func (c *Cluster) checkZones(ctx context.Context) {
	c.mu.Lock()
	contacts := make(map[string][]string)
	for _, zone := range c.remoteZones() {
		addresses := c.lastContactFirst(zone, c.shuffled(c.addressesOf(zone)))
		contacts[zone] = addresses[:min(len(addresses), zoneCheckContacts)]
	}
	c.mu.Unlock()
	var calls sync.WaitGroup
	for zone, addresses := range contacts {
		for _, address := range addresses {
			calls.Go(func() { c.pullRemote(ctx, zone, address, gossipRequest{}) })
		}
	}
	calls.Wait()
}
