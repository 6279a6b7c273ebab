// Package scheduler decides, for one cell of engines, which queued request runs
// next and on which engine. It performs no I/O, reads no clock and starts no
// goroutines.
package scheduler

import "github.com/go-faster/errors"

// Policy determines how a cell orders its queue and picks engines.
type Policy string

// Policies. All but PolicyDefault are baselines for experiments.
const (
	// PolicyDefault uses priority classes, fair shares and scored engines.
	PolicyDefault Policy = "default"
	// PolicyRoundRobin is first in, first out and cycles through the engines.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastLoad is first in, first out and picks the engine with the lowest
	// last reported load.
	PolicyLeastLoad Policy = "least-load"
	// PolicyOneHop behaves like PolicyLeastLoad, but nodes share no queue: for cells
	// of its own zone a router sends to the local node's dispatcher. Cells of other
	// zones keep their dispatchers, since a node knows only the engines of its own
	// zone. Caps apply per node.
	PolicyOneHop Policy = "one-hop"
)

// ParsePolicy returns the policy with the name; the empty name is PolicyDefault.
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

// firstInFirstOut reports whether the policy ignores classes, shares and lengths.
func (p Policy) firstInFirstOut() bool { return p != PolicyDefault }

// usesReportedLoad reports whether the policy uses the load reported by engines
// instead of the cell's own counts.
func (p Policy) usesReportedLoad() bool { return p == PolicyLeastLoad || p == PolicyOneHop }
