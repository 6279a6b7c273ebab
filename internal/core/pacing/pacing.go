// Package pacing spreads the reads of many nodes, so that all of them together
// stay within what the log serves. It has no input, output or clock.
package pacing

import "time"

// nodesAtBase is the number of nodes up to which each reads as often as it likes.
const nodesAtBase = 12

// Stretch returns a period for a number of nodes: the base for a few nodes, and
// longer in proportion to the nodes beyond, up to the limit.
func Stretch(base, limit time.Duration, nodes int) time.Duration {
	if nodes <= nodesAtBase {
		return base
	}
	return min(base*time.Duration(nodes)/nodesAtBase, max(base, limit))
}
