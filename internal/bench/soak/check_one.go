package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// turnTime is the time of the lease as the consumers of orders know it, from the
// users' pages: within it, two nodes must not take turns. It is no bound by which a
// slow machine is late, so no slack stretches it.
const turnTime = 3 * time.Second

// command is an order of an engine, or a call for the platform: what only the node
// that holds the lease may send.
type command struct {
	// subject is what it is about, holder the process that sent it, node its machine.
	subject string
	holder  string
	node    int
	fence   int64
	at      time.Time
}

// String names a command in what is found.
func (c command) String() string {
	return fmt.Sprintf("%s under token %d at %s", c.holder, c.fence, c.at.Format(clockFormat))
}

// nodeOf returns the number of the machine in a holder's name, "node-3-xyz" or
// "node-3": a process that was started again has another name, and the same machine.
func nodeOf(holder string) (int, bool) {
	rest, isNode := strings.CutPrefix(holder, nodePrefix)
	number, _, _ := strings.Cut(rest, "-")
	node, err := strconv.Atoi(number)
	return node, isNode && err == nil
}

// commandsOf returns the commands by what they are about, each in the order of arrival (the
// incarnations of an engine are one subject),
// and those that bear the name of no node, or of another than the one whose process sent
// them. The machine is the sender's, whatever name it bears.
func commandsOf(h *History) (commands [][]command, found []string) {
	places := make(map[string]int)
	for i := range h.Engines {
		engine := &h.Engines[i]
		var sent []command
		for _, order := range engine.Orders {
			node, sound := senderOf(order.Holder, order.From)
			if !sound {
				found = append(found, fmt.Sprintf("engine %s has an order in the name of %q from node %d", engine.ID, order.Holder, node))
			}
			sent = append(sent, command{engine.ID, order.Holder, node, order.Fence, order.At})
		}
		if place, restarted := places[engine.ID]; restarted {
			commands[place] = append(commands[place], sent...)
			continue
		}
		places[engine.ID] = len(commands)
		commands = append(commands, sent)
	}
	var reports []command
	for _, call := range h.Usage {
		node, sound := senderOf(call.Holder, call.From)
		if !sound {
			found = append(found, fmt.Sprintf("a report of use in the name of %q from node %d", call.Holder, node))
		}
		reports = append(reports, command{"the reports of use", call.Holder, node, call.Fence, call.At})
	}
	return append(commands, reports), found
}

// senderOf returns the node that sent a command, by the address that it came from where
// that tells, and by its name elsewhere; sound is false where these do not agree.
func senderOf(holder, from string) (node int, sound bool) {
	named, known := nodeOf(holder)
	sender, told := senderAt(from)
	if !told {
		return named, known
	}
	return sender, known && sender == named
}

// excused tells whether a command does not count: it arrived just after its sender was
// thawed or its way to the engines healed. What a process had handed to the kernel
// before it was stopped, or what waited on the way, leaves it without any leave of the
// process; nothing else is excused.
func (h *History) excused(sent command, thaw time.Duration) bool {
	for _, each := range h.Resumed {
		if each.Node != anyNode && each.Node != sent.node {
			continue
		}
		if since := sent.at.Sub(each.At); since >= 0 && since <= thaw {
			return true
		}
	}
	return false
}

// counted returns the commands but those that are excused.
func (h *History) counted(sent []command, thaw time.Duration) []command {
	var counted []command
	for _, each := range sent {
		if !h.excused(each, thaw) {
			counted = append(counted, each)
		}
	}
	return counted
}

// checkTokens: where engines do not check fencing tokens, none sees a lower one after a
// higher one, from whichever process.
func checkTokens(h *History, bounds Bounds) []string {
	commands, found := commandsOf(h)
	if h.EnginesFence {
		return found
	}
	for _, sent := range commands {
		var highest command
		for _, each := range h.counted(sent, bounds.Thaw) {
			if each.fence < highest.fence {
				found = append(found, fmt.Sprintf("%s: %s comes after %s", each.subject, each, highest))
				continue
			}
			highest = each
		}
	}
	return found
}

// checkTurns: no two nodes take turns within the lease's time. Where engines check
// fencing tokens, only nodes that are in touch count.
func checkTurns(h *History, bounds Bounds) []string {
	var found []string
	commands, _ := commandsOf(h)
	for _, sent := range commands {
		var counted []command
		for _, each := range h.counted(sent, bounds.Thaw) {
			if !h.EnginesFence || h.inTouch(each.node, each.at, each.at, bounds.Contact) {
				counted = append(counted, each)
			}
		}
		found = append(found, turns(counted)...)
	}
	return found
}

// closeChanges counts the commands that came within turnTime after one of another node on
// the same subject. The quiet time between two nodes' orders is to keep that from
// happening; by itself it breaks no promise, as no node takes a turn again.
func closeChanges(h *History, bounds Bounds) int {
	count := 0
	commands, _ := commandsOf(h)
	for _, sent := range commands {
		counted := h.counted(sent, bounds.Thaw)
		for i, each := range counted {
			if i > 0 && counted[i-1].node != each.node && each.at.Sub(counted[i-1].at) < turnTime {
				count++
			}
		}
	}
	return count
}

// turns finds each return to a node within turnTime after another one's command.
func turns(sent []command) []string {
	var found []string
	last := make(map[int]command)
	for i, each := range sent {
		before, again := last[each.node]
		last[each.node] = each
		if !again || sent[i-1].node == each.node || each.at.Sub(before.at) > turnTime {
			continue
		}
		found = append(found, fmt.Sprintf("%s: nodes take turns: %s, %s, %s", each.subject, before, sent[i-1], each))
	}
	return found
}
