package cluster

import (
	"context"
	"slices"
	"sync"
	"time"
)

// zoneUnreachableFailures is the number of consecutive failed contacts after which a zone counts as
// unreachable.
const zoneUnreachableFailures = 2

// zoneLostFailures is the number of consecutive failed contacts after which the nodes of a zone are no
// longer listed as members. It exceeds zoneUnreachableFailures, since the work of a lost zone moves to other zones.
const zoneLostFailures = 6

// confirmationContacts is the number of other nodes of a zone that are contacted after one failed to
// respond.
const confirmationContacts = 3

// roundsPerContact is the number of rounds over all zones after which a random node of a zone is contacted
// instead of the last one.
const roundsPerContact = 16

// minReachablePeriods is the minimum time, in protocol periods, for which a zone counts as reachable after a
// contact.
const minReachablePeriods = 30

// pullNextRemoteZone pulls from one node of the next zone in turn, or of a zone whose last contact failed.
// It reuses the last contact, since a new connection costs more than a pull, and periodically picks a random one.
// If the contact fails, further nodes are contacted before the zone can count as lost.
func (c *Cluster) pullNextRemoteZone(ctx context.Context) {
	c.mu.Lock()
	zone, addresses := c.nextRemoteZone()
	c.schedule.remotePullCount++
	request := gossipRequest{Pull: true, WantContacts: c.schedule.remotePullCount%wantContactsEvery == 1}
	if zone != "" {
		request.Vector = c.zone(zone).vector()
	}
	c.mu.Unlock()
	if len(addresses) == 0 || c.pullRemote(ctx, zone, addresses[0], request) {
		return
	}
	var pulls sync.WaitGroup
	for _, address := range addresses[1:min(len(addresses), 1+confirmationContacts)] {
		pulls.Go(func() { c.pullRemote(ctx, zone, address, request) })
	}
	pulls.Wait()
}

// pullRemote pulls from one address. It returns false if the call failed or a node of another zone responded.
func (c *Cluster) pullRemote(ctx context.Context, zone, address string, request gossipRequest) bool {
	response, err := c.gossip(ctx, address, outgoing{request: request})
	if err == nil && (zone == "" || response.From.Zone == zone) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastContact[zone] = address
		return true
	}
	if ctx.Err() == nil {
		c.recordContactFailure(zone, address)
	}
	return false
}

func (c *Cluster) recordContactFailure(zone, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.contacts[zone], address)
	if c.lastContact[zone] == address {
		delete(c.lastContact, zone)
	}
	if zone != "" {
		c.zone(zone).failures++
		c.viewStale.Store(true)
	}
}

// nextRemoteZone returns the next zone to contact and its addresses: the last contact first, then the others
// in random order. While no other zone is known it returns the seeds. Must be called with mu held.
func (c *Cluster) nextRemoteZone() (string, []string) {
	names := c.remoteZones()
	if len(names) == 0 {
		return "", c.shuffled(slices.DeleteFunc(slices.Clone(c.options.Seeds), c.isLocalAddress))
	}
	name := names[c.schedule.remotePullCount%len(names)]
	for _, failing := range names {
		if zone := c.zones[failing]; zone != nil && zone.failures > 0 && !c.zoneLost(zone) {
			name = failing
		}
	}
	addresses := c.shuffled(c.addressesOf(name))
	if round := c.schedule.remotePullCount / len(names); round%roundsPerContact != 0 {
		addresses = c.lastContactFirst(name, addresses)
	}
	return name, addresses
}

// lastContactFirst moves the last contact of the zone to the front.
func (c *Cluster) lastContactFirst(zone string, addresses []string) []string {
	if index := slices.Index(addresses, c.lastContact[zone]); index > 0 {
		addresses[0], addresses[index] = addresses[index], addresses[0]
	}
	return addresses
}

// remoteZones returns the other zones with a known address, sorted by name.
func (c *Cluster) remoteZones() []string {
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

// addressesOf returns the known addresses of another zone, sorted.
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

// isLocalAddress reports whether the address belongs to this node or to a member of its zone.
func (c *Cluster) isLocalAddress(address string) bool {
	return address == c.self.Address || slices.Contains(c.liveMembers(), address)
}

// oneContactPerZone returns a random address of each other zone. Must be called with mu held.
func (c *Cluster) oneContactPerZone() []string {
	var addresses []string
	for _, name := range c.remoteZones() {
		addresses = append(addresses, c.shuffled(c.addressesOf(name))[0])
	}
	return addresses
}

// addContact stores an address of a zone, up to maxContacts. Must be called with mu held.
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

// contactsFor returns a few addresses of each zone for a requester in the given zone. Addresses of the local
// zone are included unless the requester is in it.
func (c *Cluster) contactsFor(zone string) []contact {
	var result []contact
	for _, name := range append(c.remoteZones(), c.self.Zone) {
		addresses := c.addressesOf(name)
		if name == c.self.Zone {
			addresses = append(c.liveMembers(), c.self.Address)
		}
		if name == c.self.Zone && name == zone {
			continue
		}
		for _, address := range c.shuffled(addresses)[:min(contactsPerZone, len(addresses))] {
			result = append(result, contact{Zone: name, Address: address})
		}
	}
	return result
}

// reachableTimeout is how long a zone counts as reachable after a contact.
func (c *Cluster) reachableTimeout() time.Duration {
	return c.periods(max(minReachablePeriods, 3*c.remotePullPeriods()*len(c.zones)))
}

// zoneReachable reports whether another zone is currently reachable.
func (c *Cluster) zoneReachable(zone *zoneRecords, now time.Time) bool {
	return zone.failures < zoneUnreachableFailures && now.Sub(zone.lastContactAt) < c.reachableTimeout()
}

// zoneLost reports whether all recent contacts of the zone failed, as in a power loss or a network
// partition. Its records are kept for Reachability.
func (c *Cluster) zoneLost(zone *zoneRecords) bool { return zone.failures >= zoneLostFailures }
