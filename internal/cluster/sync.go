package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// gossipTimeout bounds one gossip call.
const gossipTimeout = 2 * time.Second

// maxContacts bounds the remembered addresses of one zone.
const maxContacts = 64

// contactsPerZone is how many addresses of each zone are told on request.
const contactsPerZone = 2

// outgoing is a gossip request before it is packed.
type outgoing struct {
	request gossipRequest
	content payload
}

// gossip makes one call and takes in the answer. The answer's payload is
// merged; the rest is for the caller.
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
	askedAt := time.Now()
	if err := c.call(ctx, address, peer.MethodGossip, &out.request, &response); err != nil {
		return response, err
	}
	content, err := unpack(response.Payload)
	if err != nil {
		return response, err
	}
	c.takeResponse(response, content, address, askedAt)
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

// takeResponse merges an answer.
func (c *Cluster) takeResponse(response gossipResponse, content payload, address string, askedAt time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.options.Seeds, address) {
		c.heardSeeds[address] = true
	}
	c.hearSender(response.From, now)
	c.hearLogAge(response.LogAge, askedAt)
	for _, told := range content.Contacts {
		c.addContact(told.Zone, told.Address)
	}
	if response.From.Zone == c.self.Zone {
		c.node.Merge(content.Updates)
		c.outbox = append(c.outbox, c.takeReady(now)...)
		c.takeEngines(content.Engines, response.Engines, askedAt)
	} else {
		c.addContact(response.From.Zone, address)
		c.dropGone(response.From.Zone, response.Gone, now)
	}
	c.takeRecords(content.Records, now)
}

// hearSender notes that a node spoke; called with the lock held.
func (c *Cluster) hearSender(from sender, now time.Time) {
	if from.Zone == "" || from.ID == c.self.ID {
		return
	}
	zone := c.zone(from.Zone)
	if !c.reachableZone(zone, now) {
		c.outdated.Store(true)
	}
	zone.heardAt, zone.touchedAt = now, now
	zone.failures = 0
	if from.Zone != c.self.Zone {
		c.addContact(from.Zone, from.Address)
	}
	isMember := from.Zone != c.self.Zone || c.writers[from.ID] == from.Writer
	if isMember && zone.raiseRevision(from) {
		c.outdated.Store(true)
	}
}

// zone returns the records of the zone, new ones if needed.
func (c *Cluster) zone(name string) *zoneRecords {
	zone := c.zones[name]
	if zone == nil {
		zone = newZoneRecords()
		c.zones[name] = zone
	}
	return zone
}

// takeRecords keeps what is news and returns it; called with the lock held.
func (c *Cluster) takeRecords(records []record, now time.Time) (news []record) {
	for _, update := range records {
		if update.ID == "" || update.Zone == "" || update.ID == c.self.ID {
			continue
		}
		zone := c.zone(update.Zone)
		zone.touchedAt = now
		held, known := zone.records[keyOf(update.ID, update.Writer)]
		if !zone.put(update) {
			continue
		}
		if !known || !held.sameMember(update) {
			c.outdated.Store(true)
		}
		news = append(news, update)
		c.cells.takeRecord(update, now)
	}
	return news
}

// dropGone drops the processes that a node of their own zone no longer knows.
func (c *Cluster) dropGone(zone string, gone []recordKey, now time.Time) {
	for _, key := range gone {
		if held, known := c.zone(zone).remove(key, now); known {
			c.outdated.Store(true)
			c.cells.forgetNode(held.ID)
			delete(c.contacts[zone], held.Address)
		}
	}
}

// syncZone makes one random member of the zone and this node equal. A known
// address of the zone that is no member's comes first: nodes that started at
// the same time may have joined in separate groups.
func (c *Cluster) syncZone(ctx context.Context) {
	c.mu.Lock()
	members := c.liveMembers()
	address := c.takeStranger(members)
	if address == "" && len(members) > 0 {
		address = members[c.random.IntN(len(members))]
	}
	c.mu.Unlock()
	if address != "" {
		c.syncWith(ctx, address)
	}
}

// takeStranger removes an address from the contacts of this zone, and returns
// it, that is no member's; called with the lock held.
func (c *Cluster) takeStranger(members []string) string {
	for address := range c.contacts[c.self.Zone] {
		delete(c.contacts[c.self.Zone], address)
		if !slices.Contains(members, address) {
			return address
		}
	}
	return ""
}

// syncWith exchanges with a node that is taken for one of this zone.
func (c *Cluster) syncWith(ctx context.Context, address string) {
	c.mu.Lock()
	out := outgoing{
		request: gossipRequest{
			Digest:       c.node.Digest(),
			Pull:         true,
			Vector:       c.zones[c.self.Zone].vector(),
			WantContacts: c.alone() || len(c.zones) == 1,
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
	c.answerWants(ctx, address, response)
	c.wakeLoop()
}

// answerWants sends what the other node lacks, and asks for its engine list
// if that is fresher.
func (c *Cluster) answerWants(ctx context.Context, address string, response gossipResponse) {
	c.mu.Lock()
	content := payload{Records: c.zones[c.self.Zone].pick(response.Want)}
	if response.WantMembers {
		content.Updates = c.node.Members()
	}
	wantEngines := c.engines.wanted
	c.mu.Unlock()
	if content.empty() && !wantEngines {
		return
	}
	_, _ = c.gossip(ctx, address, outgoing{request: gossipRequest{WantEngines: wantEngines}, content: content})
}

// pushRecords sends records to the addresses at the same time, in the background.
func (c *Cluster) pushRecords(ctx context.Context, addresses []string, records []record, forward bool) {
	c.push(ctx, addresses, payload{Records: records}, forward)
}

// push sends content, unless empty, to the addresses at the same time, in the
// background. With forward set, they pass it on inside their zone.
func (c *Cluster) push(ctx context.Context, addresses []string, content payload, forward bool) {
	if content.empty() {
		return
	}
	for _, address := range addresses {
		c.calls.Go(func() {
			_, _ = c.gossip(ctx, address, outgoing{request: gossipRequest{Forward: forward}, content: content})
		})
	}
}

// liveMembers returns the addresses of the other members of the zone that are
// not dead; called with the lock held.
func (c *Cluster) liveMembers() []string {
	var addresses []string
	for _, update := range c.node.Members() {
		if update.ID != c.self.ID && update.State != membership.Dead {
			addresses = append(addresses, update.Address)
		}
	}
	return addresses
}

// join asks the seeds that never answered, all of them while this node is
// alone, and then also the known addresses of the zone. Each seed must answer
// once: two nodes that joined each other first would else never meet the rest.
func (c *Cluster) join(ctx context.Context) {
	c.mu.Lock()
	addresses := c.unheardSeeds()
	if c.alone() {
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

// unheardSeeds returns the seeds that did not answer yet; called with the lock held.
func (c *Cluster) unheardSeeds() []string {
	return slices.DeleteFunc(slices.Clone(c.options.Seeds), func(address string) bool {
		return address == c.self.Address || c.heardSeeds[address]
	})
}
