// Package scheduler decides, for one cell of engines, which queued request runs
// next and on which engine. It has no input, output, clock or goroutines.
package scheduler

import "github.com/go-faster/errors"

// Policy names how a cell orders its queue and picks engines.
type Policy string

// The policies. The three baselines exist for experiments.
const (
	// PolicyDefault: priority classes, fair shares, filter-score-pick.
	PolicyDefault Policy = "default"
	// PolicyRoundRobin: first in, first out; engines in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastLoad: first in, first out; the engine with the lowest load
	// that it last reported, which lags.
	PolicyLeastLoad Policy = "least-load"
	// PolicyOneHop: each gateway picks engines itself, without a queue that it
	// shares with others: the router sends the requests for cells of its zone to
	// the dispatcher of its own node, which orders and picks as PolicyLeastLoad.
	// Cells of other zones stay with their dispatchers, since a node knows the
	// engines of its own zone only. A cap holds for each node by itself.
	PolicyOneHop Policy = "one-hop"
)

// ParsePolicy returns the policy of a name; the empty name is PolicyDefault.
func ParsePolicy(name string) (Policy, error) {
	switch policy := Policy(name); policy {
	case "":
		return PolicyDefault, nil
	case PolicyDefault, PolicyRoundRobin, PolicyLeastLoad, PolicyOneHop:
		return policy, nil
	default:
		return "", errors.Errorf("unknown scheduler policy %q: want %q, %q, %q or %q",
			name, PolicyDefault, PolicyRoundRobin, PolicyLeastLoad, PolicyOneHop)
	}
}

// firstInFirstOut tells whether the policy ignores classes, shares and lengths.
func (p Policy) firstInFirstOut() bool { return p != PolicyDefault }

// byReport tells whether the policy goes by the load that engines report.
func (p Policy) byReport() bool { return p == PolicyLeastLoad || p == PolicyOneHop }
