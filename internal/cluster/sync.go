package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// gossipTimeout limits one gossip call.
const gossipTimeout = 2 * time.Second

// maxContacts limits the stored addresses of a zone.
const maxContacts = 64

// contactsPerZone is the number of addresses of each zone sent on request.
const contactsPerZone = 2

// outgoing is a gossip request with its unpacked payload.
type outgoing struct {
	request gossipRequest
	content payload
}

// gossip sends a request and merges the response, except for Want and WantMembers, which the caller must handle.
func (c *Cluster) gossip(ctx context.Context, address string, out outgoing) (gossipResponse, error) {
	var response gossipResponse
	packed, err := pack(out.content)
	if err != nil {
		return response, err
	}
	out.request.Payload = packed
	out.request.From = c.sender()
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	requestedAt := time.Now()
	if err := c.call(ctx, address, peer.MethodGossip, &out.request, &response); err != nil {
		return response, err
	}
	content, err := unpack(response.Payload)
	if err != nil {
		return response, err
	}
	c.mergeResponse(response, content, address, requestedAt)
	return response, nil
}

func (c *Cluster) sender() sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senderLocked()
}

func (c *Cluster) senderLocked() sender {
	return sender{
		ID: c.self.ID, Writer: c.self.Writer, Zone: c.self.Zone,
		Address: c.self.Address, Revision: c.self.Revision,
	}
}

// mergeResponse merges the response of the node at address.
func (c *Cluster) mergeResponse(response gossipResponse, content payload, address string, requestedAt time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.options.Seeds, address) {
		c.answeredSeeds[address] = true
	}
	c.observeSender(response.From, now)
	c.observeLogAge(response.LogAge, requestedAt)
	for _, shared := range content.Contacts {
		c.addContact(shared.Zone, shared.Address)
	}
	if response.From.Zone == c.self.Zone {
		c.node.Merge(content.Updates)
		c.outbox = append(c.outbox, c.drainReady(now)...)
		c.mergeEngines(content.Engines, response.Engines, requestedAt)
	} else {
		c.addContact(response.From.Zone, address)
		c.removeGone(response.From.Zone, response.Gone, now)
	}
	c.mergeRecords(content.Records, now)
}

// observeSender records a direct contact with a node. Must be called with mu held.
func (c *Cluster) observeSender(from sender, now time.Time) {
	if from.Zone == "" || from.ID == c.self.ID {
		return
	}
	zone := c.zone(from.Zone)
	if !c.zoneReachable(zone, now) {
		c.viewStale.Store(true)
	}
	zone.lastContactAt, zone.updatedAt = now, now
	zone.failures = 0
	if from.Zone != c.self.Zone {
		c.addContact(from.Zone, from.Address)
	}
	isMember := from.Zone != c.self.Zone || c.writers[from.ID] == from.Writer
	if isMember && zone.raiseRevision(from) {
		c.viewStale.Store(true)
	}
}

// zone returns the records of a zone, creating them if needed. Must be called with mu held.
func (c *Cluster) zone(name string) *zoneRecords {
	zone := c.zones[name]
	if zone == nil {
		zone = newZoneRecords()
		c.zones[name] = zone
	}
	return zone
}

// mergeRecords stores the records that are new and returns them. Must be called with mu held.
func (c *Cluster) mergeRecords(records []record, now time.Time) (accepted []record) {
	for _, update := range records {
		if update.ID == "" || update.Zone == "" || update.ID == c.self.ID {
			continue
		}
		zone := c.zone(update.Zone)
		zone.updatedAt = now
		held, known := zone.records[keyOf(update.ID, update.Writer)]
		if !zone.put(update) {
			continue
		}
		if !known || !held.equalMember(update) {
			c.viewStale.Store(true)
		}
		accepted = append(accepted, update)
		c.cells.mergeRecord(update, now)
	}
	return accepted
}

// removeGone removes the records of processes that a node of their own zone reported as gone. Must be called with mu
// held.
func (c *Cluster) removeGone(zone string, gone []recordKey, now time.Time) {
	for _, key := range gone {
		if held, known := c.zone(zone).remove(key, now); known {
			c.viewStale.Store(true)
			c.cells.removeNode(held.ID)
			delete(c.contacts[zone], held.Address)
		}
	}
}

// syncZone synchronizes with a random member of the zone. Contacts of the zone that are not members take
// precedence: nodes started at the same time may have formed separate groups.
func (c *Cluster) syncZone(ctx context.Context) {
	c.mu.Lock()
	members := c.liveMembers()
	address := c.takeUnknownContact(members)
	if address == "" && len(members) > 0 {
		address = members[c.random.IntN(len(members))]
	}
	c.mu.Unlock()
	if address != "" {
		c.syncWith(ctx, address)
	}
}

// takeUnknownContact removes and returns a contact of this zone that is not a member, or "" if there is none. Contacts
// that are members are removed too. Must be called with mu held.
func (c *Cluster) takeUnknownContact(members []string) string {
	for address := range c.contacts[c.self.Zone] {
		delete(c.contacts[c.self.Zone], address)
		if !slices.Contains(members, address) {
			return address
		}
	}
	return ""
}

// syncWith synchronizes with a node that is assumed to be in this zone.
func (c *Cluster) syncWith(ctx context.Context, address string) {
	c.mu.Lock()
	out := outgoing{
		request: gossipRequest{
			Digest:       c.node.Digest(),
			Pull:         true,
			Vector:       c.zones[c.self.Zone].vector(),
			WantContacts: c.aloneInZone() || len(c.zones) == 1,
		},
	}
	if !slices.Contains(c.liveMembers(), address) {
		out.content.Updates = []membership.Update{c.node.Self()}
	}
	c.mu.Unlock()
	response, err := c.gossip(ctx, address, out)
	if err != nil || response.From.Zone != c.self.Zone {
		return
	}
	c.sendWanted(ctx, address, response)
	c.wakeLoop()
}

// sendWanted sends the records and members that the other node lacks, and requests its engine list if that
// is newer.
func (c *Cluster) sendWanted(ctx context.Context, address string, response gossipResponse) {
	c.mu.Lock()
	content := payload{Records: c.zones[c.self.Zone].byKeys(response.Want)}
	if response.WantMembers {
		content.Updates = c.node.Members()
	}
	wantEngines := c.engines.outdated
	c.mu.Unlock()
	if content.empty() && !wantEngines {
		return
	}
	_, _ = c.gossip(ctx, address, outgoing{request: gossipRequest{WantEngines: wantEngines}, content: content})
}

// pushRecords sends records to the addresses concurrently, in the background.
func (c *Cluster) pushRecords(ctx context.Context, addresses []string, records []record, forward bool) {
	c.push(ctx, addresses, payload{Records: records}, forward)
}

// push sends content, unless it is empty, to the addresses concurrently, in the background. With forward
// set, the receivers pass it on within their zone.
func (c *Cluster) push(ctx context.Context, addresses []string, content payload, forward bool) {
	if content.empty() {
		return
	}
	for _, address := range addresses {
		c.background.Go(func() {
			_, _ = c.gossip(ctx, address, outgoing{request: gossipRequest{Forward: forward}, content: content})
		})
	}
}

// liveMembers returns the addresses of the other members of the zone that are not dead. Must be called with
// mu held.
func (c *Cluster) liveMembers() []string {
	var addresses []string
	for _, update := range c.node.Members() {
		if update.ID != c.self.ID && update.State != membership.Dead {
			addresses = append(addresses, update.Address)
		}
	}
	return addresses
}

// join synchronizes with the seeds that have not responded yet or, while no other member of the zone is
// known, with all seeds and contacts of the zone. Every seed must respond once; otherwise nodes that joined
// each other first could remain a separate cluster.
func (c *Cluster) join(ctx context.Context) {
	c.mu.Lock()
	addresses := c.unansweredSeeds()
	if c.aloneInZone() {
		addresses = slices.Clone(c.options.Seeds)
		for address := range c.contacts[c.self.Zone] {
			addresses = append(addresses, address)
		}
	}
	addresses = c.shuffled(addresses)
	c.mu.Unlock()
	for _, address := range addresses {
		if address != c.self.Address && ctx.Err() == nil {
			c.syncWith(ctx, address)
		}
	}
}

// unansweredSeeds returns the seeds that have not responded yet. Must be called with mu held.
func (c *Cluster) unansweredSeeds() []string {
	return slices.DeleteFunc(slices.Clone(c.options.Seeds), func(address string) bool {
		return address == c.self.Address || c.answeredSeeds[address]
	})
}
