package cluster

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// probeTimeoutPeriods limits a probe call in protocol periods. It exceeds one period, since poor local
// health extends the probe timeout.
const probeTimeoutPeriods = 5

// dispatch sends membership messages, each in its own goroutine.
func (c *Cluster) dispatch(ctx context.Context, messages []membership.Message) {
	for _, outgoing := range messages {
		if outgoing.Kind == membership.Ack {
			continue // acks are returned as call responses
		}
		c.background.Go(func() { c.sendProbe(ctx, outgoing) })
	}
}

// sendProbe sends a direct or indirect ping and passes the ack to the membership node.
func (c *Cluster) sendProbe(ctx context.Context, outgoing membership.Message) {
	method := peer.MethodProbe
	if outgoing.Kind == membership.PingRequest {
		method = peer.MethodProbeIndirect
	}
	ack, err := c.callProbe(ctx, method, outgoing)
	if err != nil {
		return // the membership node detects the missing ack
	}
	c.dispatch(ctx, c.step(ack))
}

// callProbe sends a probe and records the log age and the table revision of the response.
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
	c.observeLogAge(response.LogAge, sentAt)
	c.observeRevision(response.Message.From, response.Revision)
	return response.Message, nil
}

// step passes a message to the membership node and returns the messages to send.
func (c *Cluster) step(incoming membership.Message) []membership.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Step(incoming)
	return c.drainReady(time.Now())
}

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
	return nil, errkind.New(errkind.NotFound, "node %q did not acknowledge a probe of %q", c.options.Self.ID, incoming.To)
}

// handleProbeIndirect pings the target on behalf of the sender.
func (c *Cluster) handleProbeIndirect(ctx context.Context, request peer.Request) (any, error) {
	incoming, err := c.decodeProbe(request)
	if err != nil {
		return nil, err
	}
	for _, relayed := range c.step(incoming) {
		if relayed.Kind != membership.Ping || relayed.Origin != incoming.From {
			continue
		}
		ack, err := c.callProbe(ctx, peer.MethodProbe, relayed)
		if err != nil {
			return nil, err
		}
		for _, reply := range c.step(ack) {
			if reply.Kind == membership.Ack && reply.To == incoming.From {
				return encode(c.probeResponse(reply))
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
	c.observeRevision(probe.Message.From, probe.Revision)
	return probe.Message, nil
}

func (c *Cluster) probeResponse(ack membership.Message) *probeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &probeResponse{
		Message:  ack,
		Revision: c.self.Revision,
		LogAge:   ageOf(c.logContact, time.Now()),
	}
}

func (c *Cluster) tableRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self.Revision
}

// observeRevision records the table revision reported by a member of the zone. Must be called with mu held.
func (c *Cluster) observeRevision(id string, revision int64) {
	writer, known := c.writers[id]
	if !known || revision <= 0 {
		return
	}
	from := sender{ID: id, Writer: writer, Zone: c.self.Zone, Revision: revision}
	if c.zones[c.self.Zone].raiseRevision(from) {
		c.viewStale.Store(true)
	}
}

// observeLogAge records the log contact of a response. The age is counted from the time of the request: if this
// process is paused before it reads the response, counting from the time of reading would make the contact too
// recent. Must be called with mu held.
func (c *Cluster) observeLogAge(age logAge, requestedAt time.Time) {
	if age < 0 {
		return
	}
	contact := requestedAt.Add(-time.Duration(age) * time.Millisecond)
	if contact.After(c.logContact) {
		c.logContact = contact
	}
}
