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

// advanceProbe moves the current probe on, or starts the next.
func (n *Node) advanceProbe() {
	elapsed := n.ticks - n.probe.started
	if n.probe.target == "" || n.probe.answered {
		if elapsed >= n.config.ProbeTicks || n.probe.target == "" {
			n.startProbe()
		}
		return
	}
	factor := n.health + 1
	if elapsed >= n.config.ProbeTicks*factor {
		n.suspect(n.probe.target)
		n.startProbe()
		return
	}
	if !n.probe.indirect && elapsed >= n.config.DirectTicks*factor {
		n.probe.indirect = true
		n.probeIndirectly()
	}
}

// startProbe pings the next node of the round.
func (n *Node) startProbe() {
	n.probe = probe{}
	target := n.nextTarget()
	if target == nil {
		return
	}
	sequence := n.ping(target)
	n.probe = probe{target: target.update.ID, sequence: sequence, started: n.ticks}
}

// ping sends a ping and returns its sequence.
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

// pingUpdates is what the pinged node must hear: this node, and a doubt about itself.
func (n *Node) pingUpdates(target *member) []Update {
	if target.update.State == Alive {
		return []Update{n.self}
	}
	return []Update{n.self, target.update}
}

// nextTarget walks a shuffled round, so that each node is probed within two rounds.
func (n *Node) nextTarget() *member {
	for range 2 {
		for len(n.order) > 0 {
			id := n.order[0]
			n.order = n.order[1:]
			if known := n.members[id]; known != nil && known.update.State != Dead {
				return known
			}
		}
		n.order = slices.Clone(n.ids)
		n.random.Shuffle(len(n.order), func(i, j int) {
			n.order[i], n.order[j] = n.order[j], n.order[i]
		})
	}
	return nil
}

// probeIndirectly asks other nodes to ping the target.
func (n *Node) probeIndirectly() {
	target := n.members[n.probe.target]
	if target == nil {
		return
	}
	helpers := n.choose(n.config.IndirectProbes, func(m *member) bool {
		return m.update.State == Alive && m != target
	})
	for _, helper := range helpers {
		n.send(Message{
			Kind:          PingRequest,
			To:            helper.update.ID,
			ToAddress:     helper.update.Address,
			Sequence:      n.probe.sequence,
			Target:        target.update.ID,
			TargetAddress: target.update.Address,
		}, n.pingUpdates(target)...)
	}
}

// probeDead pings one node held for dead that did not leave by plan: if it
// lives, a partition has healed, and it refutes.
func (n *Node) probeDead() {
	chosen := n.choose(1, func(m *member) bool {
		return m.update.State == Dead && !m.update.Leaving
	})
	for _, known := range chosen {
		n.ping(known)
	}
}

// choose picks up to count members at random among those that fit.
func (n *Node) choose(count int, fits func(*member) bool) []*member {
	var candidates []*member
	for _, id := range n.ids {
		if known := n.members[id]; fits(known) {
			candidates = append(candidates, known)
		}
	}
	n.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}

// answerPing acknowledges. A sender that is not what it believes to be hears so.
func (n *Node) answerPing(message Message) {
	if message.To != n.self.ID || n.self.State == Dead {
		return
	}
	answer := Message{
		Kind:     Ack,
		To:       message.From,
		Sequence: message.Sequence,
		Origin:   message.Origin,
		Target:   n.self.ID,
	}
	var first []Update
	if n.saidOfSelf(message) {
		first = append(first, n.self)
	}
	if known := n.members[message.From]; known != nil {
		answer.ToAddress = known.update.Address
		if !slices.Contains(message.Updates, known.update) {
			first = append(first, known.update)
		}
	}
	n.send(answer, first...)
}

// saidOfSelf reports whether the message holds a claim about this node.
func (n *Node) saidOfSelf(message Message) bool {
	return slices.ContainsFunc(message.Updates, func(u Update) bool { return u.ID == n.self.ID })
}

// relayPing pings the target for the sender. It keeps no state: the origin
// travels with the ping and its answer.
func (n *Node) relayPing(message Message) {
	if message.To != n.self.ID || n.self.State == Dead || message.TargetAddress == "" {
		return
	}
	var first []Update
	for _, id := range []string{message.From, message.Target} {
		if known := n.members[id]; known != nil {
			first = append(first, known.update)
		}
	}
	n.send(Message{
		Kind:      Ping,
		To:        message.Target,
		ToAddress: message.TargetAddress,
		Sequence:  message.Sequence,
		Origin:    message.From,
	}, first...)
}

// takeAck takes an answer to this node's probe, or hands a relayed one back.
func (n *Node) takeAck(message Message) {
	if message.Origin != "" && message.Origin != n.self.ID {
		n.handBack(message)
		return
	}
	if message.Target != n.probe.target || message.Sequence != n.probe.sequence || n.probe.answered {
		return
	}
	n.probe.answered = true
	n.improveHealth()
}

func (n *Node) handBack(message Message) {
	origin := n.members[message.Origin]
	answer := Message{
		Kind:     Ack,
		To:       message.Origin,
		Sequence: message.Sequence,
		Origin:   message.Origin,
		Target:   message.Target,
	}
	if origin != nil {
		answer.ToAddress = origin.update.Address
	}
	var first []Update
	if target := n.members[message.Target]; target != nil {
		first = append(first, target.update)
	}
	n.send(answer, first...)
}

// send completes the message and puts it out.
func (n *Node) send(message Message, first ...Update) {
	message.From = n.self.ID
	message.Updates = n.piggyback(first...)
	n.ready.Messages = append(n.ready.Messages, message)
}
