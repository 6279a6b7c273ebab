package history

import (
	"slices"
	"time"
)

// CheckDrain finds requests that an engine started more than the grace period after it began to drain.
func CheckDrain(engineID string, drainStart time.Time, grace time.Duration, executions []Execution) []Violation {
	limit := drainStart.Add(grace).UnixNano()
	var violations []Violation
	for _, execution := range executions {
		if execution.Engine != engineID || execution.StartedUnixNS <= limit {
			continue
		}
		late := time.Duration(execution.StartedUnixNS - drainStart.UnixNano())
		violations = append(violations, violation(RuleDrain, "engine %s started request %s %s after it began to drain",
			engineID, execution.RequestID, late))
	}
	return violations
}

// CheckMonotonic finds nodes that answered under a lower revision than in an earlier response. Responses that
// overlap in time are not ordered.
func CheckMonotonic(observations []Observation) []Violation {
	byNode := map[string][]Observation{}
	for _, observed := range observations {
		byNode[observed.Node] = append(byNode[observed.Node], observed)
	}
	var violations []Violation
	for node, observed := range byNode {
		violations = append(violations, checkNodeMonotonic(node, observed)...)
	}
	return violations
}

func checkNodeMonotonic(node string, observations []Observation) []Violation {
	byEnd := slices.Clone(observations)
	slices.SortFunc(byEnd, func(a, b Observation) int { return a.Ended.Compare(b.Ended) })
	byStart := slices.Clone(observations)
	slices.SortFunc(byStart, func(a, b Observation) int { return a.Started.Compare(b.Started) })
	var violations []Violation
	var highest int64
	next := 0
	for _, observed := range byStart {
		for next < len(byEnd) && byEnd[next].Ended.Before(observed.Started) {
			highest = max(highest, byEnd[next].Revision)
			next++
		}
		if observed.Revision < highest {
			violations = append(violations, violation(RuleMonotonic, "node %s answered under revision %d after revision %d",
				node, observed.Revision, highest))
		}
	}
	return violations
}

// CheckConvergence finds nodes that were below the revision later than bound after it was accepted, or that
// did not answer after that time.
func CheckConvergence(revision int64, accepted time.Time, bound time.Duration, nodes []string, observations []Observation) []Violation {
	limit := accepted.Add(bound)
	answered := map[string]bool{}
	var violations []Violation
	for _, observed := range observations {
		if !observed.Started.After(limit) {
			continue
		}
		answered[observed.Node] = true
		if observed.Revision < revision {
			violations = append(violations, violation(RuleConvergence, "node %s was at revision %d, %s after revision %d was accepted",
				observed.Node, observed.Revision, observed.Started.Sub(accepted), revision))
		}
	}
	for _, node := range nodes {
		if !answered[node] {
			violations = append(violations, violation(RuleConvergence,
				"node %s did not answer after the convergence bound of revision %d", node, revision))
		}
	}
	return violations
}
