package cluster

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// probeTimeoutPeriods bounds a probe call in protocol periods; a late answer
// still counts while the probe runs, which local health may prolong.
const probeTimeoutPeriods = 5

// dispatch sends membership messages, each in its own goroutine.
func (c *Cluster) dispatch(ctx context.Context, messages []membership.Message) {
	for _, outgoing := range messages {
		if outgoing.Kind == membership.Ack {
			continue // answers go back as responses
		}
		c.calls.Go(func() { c.sendProbe(ctx, outgoing) })
	}
}

// sendProbe sends a ping or a request for one and feeds the answer back.
func (c *Cluster) sendProbe(ctx context.Context, outgoing membership.Message) {
	method := peer.MethodProbe
	if outgoing.Kind == membership.PingRequest {
		method = peer.MethodProbeIndirect
	}
	answer, err := c.callProbe(ctx, method, outgoing)
	if err != nil {
		return // silence is what the membership node counts
	}
	c.dispatch(ctx, c.step(answer))
}

// callProbe makes the call and takes in what the answer says beside the message.
func (c *Cluster) callProbe(
	ctx context.Context, method peer.Method, outgoing membership.Message,
) (membership.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, c.periods(probeTimeoutPeriods))
	defer cancel()
	sentAt := time.Now()
	var response probeResponse
	request := &probeRequest{Message: outgoing, Revision: c.tableRevision()}
	if err := c.call(ctx, outgoing.ToAddress, method, request, &response); err != nil {
		return membership.Message{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hearLogAge(response.LogAge, sentAt)
	c.hearRevision(response.Message.From, response.Revision)
	return response.Message, nil
}

// step feeds one message to the membership node.
func (c *Cluster) step(incoming membership.Message) []membership.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Step(incoming)
	return c.takeReady(time.Now())
}

// handleProbe answers a ping.
func (c *Cluster) handleProbe(_ context.Context, request peer.Request) (any, error) {
	incoming, err := c.decodeProbe(request)
	if err != nil {
		return nil, err
	}
	for _, outgoing := range c.step(incoming) {
		if outgoing.Kind == membership.Ack && outgoing.Sequence == incoming.Sequence {
			return encode(c.probeResponse(outgoing))
		}
	}
	return nil, errkind.New(errkind.NotFound, "node %q does not answer for %q", c.options.Self.ID, incoming.To)
}

// handleProbeIndirect pings the target for the sender.
func (c *Cluster) handleProbeIndirect(ctx context.Context, request peer.Request) (any, error) {
	incoming, err := c.decodeProbe(request)
	if err != nil {
		return nil, err
	}
	for _, relayed := range c.step(incoming) {
		if relayed.Kind != membership.Ping || relayed.Origin != incoming.From {
			continue
		}
		answer, err := c.callProbe(ctx, peer.MethodProbe, relayed)
		if err != nil {
			return nil, err
		}
		for _, back := range c.step(answer) {
			if back.Kind == membership.Ack && back.To == incoming.From {
				return encode(c.probeResponse(back))
			}
		}
	}
	return nil, errkind.New(errkind.NotFound, "target %q was not probed", incoming.Target)
}

func (c *Cluster) decodeProbe(request peer.Request) (membership.Message, error) {
	var probe probeRequest
	if err := decodeRequest(request, &probe); err != nil {
		return membership.Message{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hearRevision(probe.Message.From, probe.Revision)
	return probe.Message, nil
}

func (c *Cluster) probeResponse(answer membership.Message) *probeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &probeResponse{
		Message:  answer,
		Revision: c.self.Revision,
		LogAge:   ageOf(c.logContact, time.Now()),
	}
}

func (c *Cluster) tableRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self.Revision
}

// hearRevision notes what a member of the zone said of its table; called with
// the lock held.
func (c *Cluster) hearRevision(id string, revision int64) {
	writer, known := c.writers[id]
	if !known || revision <= 0 {
		return
	}
	from := sender{ID: id, Writer: writer, Zone: c.self.Zone, Revision: revision}
	if c.zones[c.self.Zone].raiseRevision(from) {
		c.outdated.Store(true)
	}
}

// hearLogAge notes a log contact told in an answer. The age is counted from
// the time of the question: an answer that lay unread while this process was
// paused makes the contact look older, never fresher.
func (c *Cluster) hearLogAge(age logAge, askedAt time.Time) {
	if age < 0 {
		return
	}
	contact := askedAt.Add(-time.Duration(age) * time.Millisecond)
	if contact.After(c.logContact) {
		c.logContact = contact
	}
}
