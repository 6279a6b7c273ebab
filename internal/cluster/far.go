package cluster

import (
	"context"
	"slices"
	"time"
)

// failuresUnreachable is how many contacts in a row must fail before a zone
// counts as unreachable.
const failuresUnreachable = 2

// minimumHeardPeriods is how long, at least, a zone counts as reachable after
// one of its nodes spoke, in protocol periods.
const minimumHeardPeriods = 30

// reachFar pulls from one random node of the zone that was asked longest ago.
func (c *Cluster) reachFar(ctx context.Context) {
	c.mu.Lock()
	zone, addresses := c.nextFarZone()
	c.schedule.farCount++
	wantContacts := c.schedule.farCount%wantContactsEvery == 1
	var vector []byte
	if zone != "" {
		vector = c.zone(zone).vector()
	}
	c.mu.Unlock()
	request := gossipRequest{Pull: true, Vector: vector, WantContacts: wantContacts}
	for _, address := range addresses[:min(len(addresses), failuresUnreachable)] {
		response, err := c.gossip(ctx, address, outgoing{request: request})
		if err == nil && (zone == "" || response.From.Zone == zone) {
			return
		}
		if ctx.Err() != nil {
			return
		}
		c.contactFailed(zone, address)
	}
}

func (c *Cluster) contactFailed(zone, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.contacts[zone], address)
	if zone != "" {
		c.zone(zone).failures++
	}
}

// nextFarZone returns the zone to ask and its addresses in random order.
// While no other zone is known these are the seeds. Called with the lock held.
func (c *Cluster) nextFarZone() (string, []string) {
	names := c.farZones()
	if len(names) == 0 {
		return "", c.shuffled(slices.DeleteFunc(slices.Clone(c.options.Seeds), c.isNear))
	}
	name := names[c.schedule.farCount%len(names)]
	return name, c.shuffled(c.addressesOf(name))
}

// farZones returns the other zones that have an address to try, sorted.
func (c *Cluster) farZones() []string {
	var names []string
	for name := range c.contacts {
		if name != c.self.Zone && len(c.addressesOf(name)) > 0 {
			names = append(names, name)
		}
	}
	for name := range c.zones {
		if name != c.self.Zone && !slices.Contains(names, name) && len(c.addressesOf(name)) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// addressesOf returns the known addresses of another zone.
func (c *Cluster) addressesOf(name string) []string {
	var addresses []string
	for address := range c.contacts[name] {
		addresses = append(addresses, address)
	}
	if zone := c.zones[name]; zone != nil {
		for _, held := range zone.records {
			if !held.Leaving && held.Address != "" && !slices.Contains(addresses, held.Address) {
				addresses = append(addresses, held.Address)
			}
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (c *Cluster) shuffled(addresses []string) []string {
	c.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses
}

// isNear reports whether the address is this node's or a member's of its zone.
func (c *Cluster) isNear(address string) bool {
	return address == c.self.Address || slices.Contains(c.liveMembers(), address)
}

// oneContactPerZone picks a random address of each other zone.
func (c *Cluster) oneContactPerZone() []string {
	var addresses []string
	for _, name := range c.farZones() {
		addresses = append(addresses, c.shuffled(c.addressesOf(name))[0])
	}
	return addresses
}

// addContact remembers an address; called with the lock held.
func (c *Cluster) addContact(zone, address string) {
	if zone == "" || address == "" || address == c.self.Address {
		return
	}
	known := c.contacts[zone]
	if known == nil {
		known = make(map[string]struct{})
		c.contacts[zone] = known
	}
	if len(known) < maxContacts {
		known[address] = struct{}{}
	}
}

// contactsFor returns a few addresses of each zone, this one included, for a
// node of the zone.
func (c *Cluster) contactsFor(zone string) []contact {
	var told []contact
	for _, name := range append(c.farZones(), c.self.Zone) {
		addresses := c.addressesOf(name)
		if name == c.self.Zone {
			addresses = append(c.liveMembers(), c.self.Address)
		}
		if name == c.self.Zone && name == zone {
			continue
		}
		for _, address := range c.shuffled(addresses)[:min(contactsPerZone, len(addresses))] {
			told = append(told, contact{Zone: name, Address: address})
		}
	}
	return told
}

// heardLimit is how long a zone counts as reachable after it was heard.
func (c *Cluster) heardLimit() time.Duration {
	return c.periods(max(minimumHeardPeriods, 3*c.farPeriods()*len(c.zones)))
}

// reachableZone reports whether nodes of another zone can be heard now.
func (c *Cluster) reachableZone(zone *zoneRecords, now time.Time) bool {
	return zone.failures < failuresUnreachable && now.Sub(zone.heardAt) < c.heardLimit()
}
