package cluster

import (
	"context"
	"slices"
	"sync"
	"time"
)

// failuresUnreachable is how many contacts in a row must fail before a zone
// counts as unreachable.
const failuresUnreachable = 2

// failuresLost is how many contacts in a row must fail before the nodes of a
// zone no longer count as members. It is higher, since work moves away then.
const failuresLost = 6

// confirmations is how many other nodes of a zone are asked at once when one
// did not answer.
const confirmations = 3

// roundsPerContact is for how many rounds over the zones the same node of a
// zone is asked.
const roundsPerContact = 16

// minimumHeardPeriods is how long, at least, a zone counts as reachable after
// one of its nodes spoke, in protocol periods.
const minimumHeardPeriods = 30

// reachFar pulls from one node of the zone that was asked longest ago, or of
// one that has just failed to answer. The same node is asked as long as it
// answers, since each new connection costs more than a pull, but another one
// now and then. When it fails, some others are asked at once: a zone counts as
// lost only on the word of several.
func (c *Cluster) reachFar(ctx context.Context) {
	c.mu.Lock()
	zone, addresses := c.nextFarZone()
	c.schedule.farCount++
	request := gossipRequest{Pull: true, WantContacts: c.schedule.farCount%wantContactsEvery == 1}
	if zone != "" {
		request.Vector = c.zone(zone).vector()
	}
	c.mu.Unlock()
	if len(addresses) == 0 || c.pullFar(ctx, zone, addresses[0], request) {
		return
	}
	var pulls sync.WaitGroup
	for _, address := range addresses[1:min(len(addresses), 1+confirmations)] {
		pulls.Go(func() { c.pullFar(ctx, zone, address, request) })
	}
	pulls.Wait()
}

// pullFar pulls from one address; false when no node of the zone answered there.
func (c *Cluster) pullFar(ctx context.Context, zone, address string, request gossipRequest) bool {
	response, err := c.gossip(ctx, address, outgoing{request: request})
	if err == nil && (zone == "" || response.From.Zone == zone) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.farContact[zone] = address
		return true
	}
	if ctx.Err() == nil {
		c.contactFailed(zone, address)
	}
	return false
}

func (c *Cluster) contactFailed(zone, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.contacts[zone], address)
	if c.farContact[zone] == address {
		delete(c.farContact, zone)
	}
	if zone != "" {
		c.zone(zone).failures++
		c.outdated.Store(true)
	}
}

// nextFarZone returns the zone to ask and its addresses: the one that answered
// last, then the others in random order. While no other zone is known these are
// the seeds. Called with the lock held.
func (c *Cluster) nextFarZone() (string, []string) {
	names := c.farZones()
	if len(names) == 0 {
		return "", c.shuffled(slices.DeleteFunc(slices.Clone(c.options.Seeds), c.isNear))
	}
	name := names[c.schedule.farCount%len(names)]
	for _, doubted := range names {
		if zone := c.zones[doubted]; zone != nil && zone.failures > 0 && !c.lostZone(zone) {
			name = doubted
		}
	}
	addresses := c.shuffled(c.addressesOf(name))
	if round := c.schedule.farCount / len(names); round%roundsPerContact != 0 {
		addresses = c.contactFirst(name, addresses)
	}
	return name, addresses
}

// contactFirst puts the address that answered last to the front.
func (c *Cluster) contactFirst(zone string, addresses []string) []string {
	if at := slices.Index(addresses, c.farContact[zone]); at > 0 {
		addresses[0], addresses[at] = addresses[at], addresses[0]
	}
	return addresses
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

// lostZone reports whether nothing of the zone answers any more: it lost its
// power, or its region is cut off. What is known of it stays, for Reachability.
func (c *Cluster) lostZone(zone *zoneRecords) bool { return zone.failures >= failuresLost }
