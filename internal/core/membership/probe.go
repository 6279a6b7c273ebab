package membership

import "slices"

// probe is the probe of the current protocol period.
type probe struct {
	target   string
	sequence uint64
	started  int
	indirect bool
	answered bool
}

// advanceProbe advances the current probe, or starts the next one.
func (n *Node) advanceProbe() {
	elapsed := n.ticks - n.probe.started
	if n.probe.target == "" || n.probe.answered {
		if elapsed >= n.config.ProbeTicks || n.probe.target == "" {
			n.startProbe()
		}
		return
	}
	factor := n.healthScore + 1
	if elapsed >= n.config.ProbeTicks*factor {
		n.suspect(n.probe.target)
		n.startProbe()
		return
	}
	if !n.probe.indirect && elapsed >= n.config.PingTimeoutTicks*factor {
		n.probe.indirect = true
		n.probeIndirectly()
	}
}

// startProbe pings the next node of the probe round.
func (n *Node) startProbe() {
	n.probe = probe{}
	target := n.nextTarget()
	if target == nil {
		return
	}
	sequence := n.ping(target)
	n.probe = probe{target: target.update.ID, sequence: sequence, started: n.ticks}
}

// ping sends a ping and returns its sequence number.
func (n *Node) ping(target *member) uint64 {
	n.sequence++
	n.send(Message{
		Kind:      Ping,
		To:        target.update.ID,
		ToAddress: target.update.Address,
		Sequence:  n.sequence,
	}, n.pingUpdates(target)...)
	return n.sequence
}

// pingUpdates returns the updates that the target must receive: that of this node, and a suspicion or death of the
// target itself, so that it can refute.
func (n *Node) pingUpdates(target *member) []Update {
	if target.update.State == Alive {
		return []Update{n.self}
	}
	return []Update{n.self, target.update}
}

// nextTarget returns the next live node of a shuffled round, so that each is probed within two rounds.
func (n *Node) nextTarget() *member {
	for range 2 {
		for len(n.probeOrder) > 0 {
			id := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if m := n.members[id]; m != nil && m.update.State != Dead {
				return m
			}
		}
		n.probeOrder = slices.Clone(n.ids)
		n.random.Shuffle(len(n.probeOrder), func(i, j int) {
			n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i]
		})
	}
	return nil
}

// probeIndirectly asks other nodes to ping the target of the current probe.
func (n *Node) probeIndirectly() {
	target := n.members[n.probe.target]
	if target == nil {
		return
	}
	relays := n.sample(n.config.IndirectProbes, func(m *member) bool {
		return m.update.State == Alive && m != target
	})
	for _, relay := range relays {
		n.send(Message{
			Kind:          PingRequest,
			To:            relay.update.ID,
			ToAddress:     relay.update.Address,
			Sequence:      n.probe.sequence,
			Target:        target.update.ID,
			TargetAddress: target.update.Address,
		}, n.pingUpdates(target)...)
	}
}

// probeDead pings a random node that is considered dead and did not leave as planned. If it is live because a
// partition has healed, it refutes its death.
func (n *Node) probeDead() {
	targets := n.sample(1, func(m *member) bool {
		return m.update.State == Dead && !m.update.Leaving
	})
	for _, target := range targets {
		n.ping(target)
	}
}

// sample returns up to count random members that match.
func (n *Node) sample(count int, matches func(*member) bool) []*member {
	var candidates []*member
	for _, id := range n.ids {
		if m := n.members[id]; matches(m) {
			candidates = append(candidates, m)
		}
	}
	n.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}

// handlePing answers a ping with an ack. The ack carries the update of this node if the ping had one about it, and the
// one about the sender unless the ping had the same, so that the sender can refute.
func (n *Node) handlePing(message Message) {
	if message.To != n.self.ID || n.self.State == Dead {
		return
	}
	ack := Message{
		Kind:     Ack,
		To:       message.From,
		Sequence: message.Sequence,
		Origin:   message.Origin,
		Target:   n.self.ID,
	}
	var required []Update
	if n.mentionsSelf(message) {
		required = append(required, n.self)
	}
	if sender := n.members[message.From]; sender != nil {
		ack.ToAddress = sender.update.Address
		if !slices.Contains(message.Updates, sender.update) {
			required = append(required, sender.update)
		}
	}
	n.send(ack, required...)
}

// mentionsSelf reports whether the message contains an update about this node.
func (n *Node) mentionsSelf(message Message) bool {
	return slices.ContainsFunc(message.Updates, func(u Update) bool { return u.ID == n.self.ID })
}

// handlePingRequest pings the target on behalf of the sender. It keeps no state, since the ping and its ack carry the
// origin.
func (n *Node) handlePingRequest(message Message) {
	if message.To != n.self.ID || n.self.State == Dead || message.TargetAddress == "" {
		return
	}
	var required []Update
	for _, id := range []string{message.From, message.Target} {
		if m := n.members[id]; m != nil {
			required = append(required, m.update)
		}
	}
	n.send(Message{
		Kind:      Ping,
		To:        message.Target,
		ToAddress: message.TargetAddress,
		Sequence:  message.Sequence,
		Origin:    message.From,
	}, required...)
}

// handleAck handles the ack of this node's probe, or relays that of another node's probe.
func (n *Node) handleAck(message Message) {
	if message.Origin != "" && message.Origin != n.self.ID {
		n.relayAck(message)
		return
	}
	if message.Target != n.probe.target || message.Sequence != n.probe.sequence || n.probe.answered {
		return
	}
	n.probe.answered = true
	n.improveHealth()
}

// relayAck sends an ack on to the node that started the probe.
func (n *Node) relayAck(message Message) {
	origin := n.members[message.Origin]
	ack := Message{
		Kind:     Ack,
		To:       message.Origin,
		Sequence: message.Sequence,
		Origin:   message.Origin,
		Target:   message.Target,
	}
	if origin != nil {
		ack.ToAddress = origin.update.Address
	}
	var required []Update
	if target := n.members[message.Target]; target != nil {
		required = append(required, target.update)
	}
	n.send(ack, required...)
}

// send adds the sender and updates to the message and queues it for Ready.
func (n *Node) send(message Message, required ...Update) {
	message.From = n.self.ID
	message.Updates = n.piggyback(required...)
	n.ready.Messages = append(n.ready.Messages, message)
}
