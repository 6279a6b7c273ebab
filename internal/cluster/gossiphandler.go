package cluster

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// handleGossip merges the pushed payload of another node and responds to its pull.
func (c *Cluster) handleGossip(_ context.Context, request peer.Request) (any, error) {
	var incoming gossipRequest
	if err := decodeRequest(request, &incoming); err != nil {
		return nil, err
	}
	content, err := unpack(incoming.Payload)
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "%v", err)
	}
	response, reply := c.respondGossip(incoming, content)
	response.Payload, err = pack(reply)
	if err != nil {
		return nil, err
	}
	return encode(&response)
}

func (c *Cluster) respondGossip(incoming gossipRequest, content payload) (gossipResponse, payload) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	local := incoming.From.Zone == c.self.Zone
	if local {
		c.node.Merge(content.Updates)
		c.outbox = append(c.outbox, c.drainReady(now)...)
		c.applyEngineDelta(content.Delta, now)
	}
	c.observeSender(incoming.From, now)
	accepted := c.mergeRecords(content.Records, now)
	deaths := c.applyDeaths(content.Deaths, now)
	if incoming.Forward && len(accepted)+len(deaths) > 0 {
		c.forwardRecords = append(c.forwardRecords, accepted...)
		c.forwardDeaths = append(c.forwardDeaths, deaths...)
		c.wakeLoop()
	}
	response, reply := c.buildPullResponse(incoming)
	if local {
		c.addLocalZoneResponse(incoming, &response, &reply, now)
	}
	return response, reply
}

// buildPullResponse builds the response to a pull from the records of this zone. Must be called with mu
// held.
func (c *Cluster) buildPullResponse(incoming gossipRequest) (gossipResponse, payload) {
	response := gossipResponse{From: c.senderLocked(), LogAge: ageOf(c.logContact, time.Now())}
	var reply payload
	if incoming.Pull {
		live := c.liveWriters()
		reply.Records, response.Want, response.Gone = c.zones[c.self.Zone].newer(
			parseVector(incoming.Vector), func(held record) bool { return live[held.ID] == held.Writer })
	}
	if incoming.WantContacts {
		reply.Contacts = c.contactsFor(incoming.From.Zone)
	}
	return response, reply
}

// addLocalZoneResponse sets the parts that are only exchanged within a zone. Gone is cleared, since within a
// zone failure detection decides which processes are dead. Must be called with mu held.
func (c *Cluster) addLocalZoneResponse(incoming gossipRequest, response *gossipResponse, reply *payload, now time.Time) {
	response.Gone = nil
	response.Engines = c.engines.stamp(now)
	if incoming.Digest != 0 && incoming.Digest != c.node.Digest() {
		reply.Updates = c.node.Members()
		response.WantMembers = true
	}
	if incoming.WantEngines {
		reply.Engines = c.engines.list
	}
}

// liveWriters returns the writer of each member of the zone that is not dead, by ID.
func (c *Cluster) liveWriters() map[string]string {
	live := make(map[string]string)
	for _, update := range c.node.Members() {
		if update.State != membership.Dead {
			live[update.ID] = update.Writer
		}
	}
	return live
}
