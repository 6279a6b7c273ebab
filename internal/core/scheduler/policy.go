// Package scheduler decides, for one cell of engines, which queued request runs
// next and on which engine. It has no input, output, clock or goroutines.
package scheduler

import "github.com/go-faster/errors"

// Policy names how a cell orders its queue and picks engines.
type Policy string

// The policies. The two baselines exist for experiments.
const (
	// PolicyDefault: priority classes, fair shares, filter-score-pick.
	PolicyDefault Policy = "default"
	// PolicyRoundRobin: first in, first out; engines in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastLoad: first in, first out; the engine with the lowest load
	// that it last reported, which lags.
	PolicyLeastLoad Policy = "least-load"
)

// ParsePolicy returns the policy of a name; the empty name is PolicyDefault.
func ParsePolicy(name string) (Policy, error) {
	switch policy := Policy(name); policy {
	case "":
		return PolicyDefault, nil
	case PolicyDefault, PolicyRoundRobin, PolicyLeastLoad:
		return policy, nil
	default:
		return "", errors.Errorf("unknown scheduler policy %q: want %q, %q or %q",
			name, PolicyDefault, PolicyRoundRobin, PolicyLeastLoad)
	}
}

// firstInFirstOut tells whether the policy ignores classes, shares and lengths.
func (p Policy) firstInFirstOut() bool { return p != PolicyDefault }
