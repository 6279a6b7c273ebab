package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// leaseWindow is the lease time documented for the receivers of orders: within it, two nodes must not
// alternate. Arguments.Slack does not apply to it, since a slow machine does not excuse a violation.
const leaseWindow = 3 * time.Second

// command is an order to an engine or a usage report. Only the lease holder may send commands.
type command struct {
	// subject is the engine, or the receiver of usage reports. holder is the process that sent the command,
	// node the number of its node.
	subject string
	holder  string
	node    int
	fence   int64
	at      time.Time
}

func (c command) String() string {
	return fmt.Sprintf("%s under token %d at %s", c.holder, c.fence, c.at.Format(clockFormat))
}

// nodeOf returns the node number in a holder's name, "node-3-xyz" or "node-3". A restarted process has
// another name but the same number.
func nodeOf(holder string) (int, bool) {
	rest, isNode := strings.CutPrefix(holder, nodePrefix)
	number, _, _ := strings.Cut(rest, "-")
	node, err := strconv.Atoi(number)
	return node, isNode && err == nil
}

// groupCommands groups the commands by subject, each group in order of arrival; all incarnations of an
// engine are one subject. It also reports commands whose holder is not a node, or not the node that sent
// them. A command counts as the actual sender's, whatever holder it states.
func groupCommands(h *History) (commands [][]command, found []string) {
	indexes := make(map[string]int)
	for i := range h.Engines {
		engine := &h.Engines[i]
		var sent []command
		for _, order := range engine.Orders {
			node, consistent := commandSender(order.Holder, order.From)
			if !consistent {
				found = append(found, fmt.Sprintf("engine %s got an order in the name of %q from node %d", engine.ID, order.Holder, node))
			}
			sent = append(sent, command{engine.ID, order.Holder, node, order.Fence, order.At})
		}
		if index, grouped := indexes[engine.ID]; grouped {
			commands[index] = append(commands[index], sent...)
			continue
		}
		indexes[engine.ID] = len(commands)
		commands = append(commands, sent)
	}
	var reports []command
	for _, call := range h.Usage {
		node, consistent := commandSender(call.Holder, call.From)
		if !consistent {
			found = append(found, fmt.Sprintf("usage report in the name of %q from node %d", call.Holder, node))
		}
		reports = append(reports, command{"usage reports", call.Holder, node, call.Fence, call.At})
	}
	return append(commands, reports), found
}

// commandSender returns the node that sent a command: by source address if that is known, else by holder
// name. consistent is false if the two disagree or the holder is not a node.
func commandSender(holder, from string) (node int, consistent bool) {
	named, known := nodeOf(holder)
	sender, resolved := nodeAtAddress(from)
	if !resolved {
		return named, known
	}
	return sender, known && sender == named
}

// inResumeGrace reports whether a command is exempt because it arrived just after its sender resumed from
// a freeze or the sender's network path was restored. Such bytes may have been in flight or in kernel
// buffers, so the process could not hold them back. Nothing else is exempt.
func (h *History) inResumeGrace(sent command, grace time.Duration) bool {
	for _, each := range h.Resumptions {
		if each.Node != anyNode && each.Node != sent.node {
			continue
		}
		if since := sent.at.Sub(each.At); since >= 0 && since <= grace {
			return true
		}
	}
	return false
}

// nonExemptCommands returns the commands that inResumeGrace does not exempt.
func (h *History) nonExemptCommands(sent []command, grace time.Duration) []command {
	var counted []command
	for _, each := range sent {
		if !h.inResumeGrace(each, grace) {
			counted = append(counted, each)
		}
	}
	return counted
}

// checkTokenOrder reports, where engines do not check fencing tokens, tokens lower than one that the
// subject saw before.
func checkTokenOrder(h *History, bounds Bounds) []string {
	commands, found := groupCommands(h)
	if h.EnginesFence {
		return found
	}
	for _, sent := range commands {
		var highest command
		for _, each := range h.nonExemptCommands(sent, bounds.ResumeGrace) {
			if each.fence < highest.fence {
				found = append(found, fmt.Sprintf("%s: %s after %s", each.subject, each, highest))
				continue
			}
			highest = each
		}
	}
	return found
}

// checkAlternation reports nodes that alternate within leaseWindow. Where engines check fencing tokens,
// only commands of undisturbed nodes count.
func checkAlternation(h *History, bounds Bounds) []string {
	var found []string
	commands, _ := groupCommands(h)
	for _, sent := range commands {
		var counted []command
		for _, each := range h.nonExemptCommands(sent, bounds.ResumeGrace) {
			if !h.EnginesFence || h.undisturbed(each.node, each.at, each.at, bounds.Settle) {
				counted = append(counted, each)
			}
		}
		found = append(found, findAlternations(counted)...)
	}
	return found
}

// countCloseChanges counts the commands that came within leaseWindow after one of another node on the same
// subject. It is a statistic, not an invariant: a single change of sender is no alternation.
func countCloseChanges(h *History, bounds Bounds) int {
	count := 0
	commands, _ := groupCommands(h)
	for _, sent := range commands {
		counted := h.nonExemptCommands(sent, bounds.ResumeGrace)
		for i, each := range counted {
			if i > 0 && counted[i-1].node != each.node && each.at.Sub(counted[i-1].at) < leaseWindow {
				count++
			}
		}
	}
	return count
}

// findAlternations lists each command of a node that follows another node's, within leaseWindow of its own
// previous command.
func findAlternations(sent []command) []string {
	var found []string
	last := make(map[int]command)
	for i, each := range sent {
		previous, hasPrevious := last[each.node]
		last[each.node] = each
		if !hasPrevious || sent[i-1].node == each.node || each.at.Sub(previous.at) > leaseWindow {
			continue
		}
		found = append(found, fmt.Sprintf("%s: nodes alternate: %s, %s, %s", each.subject, previous, sent[i-1], each))
	}
	return found
}
