package cluster

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// handleGossip takes what another node pushes and answers its pull.
func (c *Cluster) handleGossip(_ context.Context, request peer.Request) (any, error) {
	var incoming gossipRequest
	if err := decodeRequest(request, &incoming); err != nil {
		return nil, err
	}
	content, err := unpack(incoming.Payload)
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "%v", err)
	}
	response, answer := c.answerGossip(incoming, content)
	response.Payload, err = pack(answer)
	if err != nil {
		return nil, err
	}
	return encode(&response)
}

func (c *Cluster) answerGossip(incoming gossipRequest, content payload) (gossipResponse, payload) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	near := incoming.From.Zone == c.self.Zone
	if near {
		c.node.Merge(content.Updates)
		c.outbox = append(c.outbox, c.takeReady(now)...)
		c.takeDelta(content.Delta, now)
	}
	c.hearSender(incoming.From, now)
	news := c.takeRecords(content.Records, now)
	deaths := c.takeDeaths(content.Deaths, now)
	if incoming.Forward && len(news)+len(deaths) > 0 {
		c.forward = append(c.forward, news...)
		c.forwardDeaths = append(c.forwardDeaths, deaths...)
		c.wakeLoop()
	}
	response, answer := c.pullAnswer(incoming)
	if near {
		c.addZoneAnswer(incoming, &response, &answer, now)
	}
	return response, answer
}

// pullAnswer answers from the records of this zone.
func (c *Cluster) pullAnswer(incoming gossipRequest) (gossipResponse, payload) {
	response := gossipResponse{From: c.senderLocked(), LogAge: ageOf(c.logContact, time.Now())}
	var answer payload
	if incoming.Pull {
		live := c.liveRecords()
		answer.Records, response.Want, response.Gone = c.zones[c.self.Zone].newer(
			parseVector(incoming.Vector), func(held record) bool { return live[held.ID] == held.Writer })
	}
	if incoming.WantContacts {
		answer.Contacts = c.contactsFor(incoming.From.Zone)
	}
	return response, answer
}

// addZoneAnswer adds what only nodes of the same zone tell each other.
func (c *Cluster) addZoneAnswer(incoming gossipRequest, response *gossipResponse, answer *payload, now time.Time) {
	response.Gone = nil
	response.Engines = c.engines.stamp(now)
	if incoming.Digest != 0 && incoming.Digest != c.node.Digest() {
		answer.Updates = c.node.Members()
		response.WantMembers = true
	}
	if incoming.WantEngines {
		answer.Engines = c.engines.list
	}
}

// liveRecords returns the writer of each member of the zone that is not dead.
func (c *Cluster) liveRecords() map[string]string {
	live := make(map[string]string)
	for _, update := range c.node.Members() {
		if update.State != membership.Dead {
			live[update.ID] = update.Writer
		}
	}
	return live
}
