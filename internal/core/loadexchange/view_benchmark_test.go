package loadexchange

import (
	"fmt"
	"testing"
)

// BenchmarkView measures a view of 280 engines at an exchange node: the time must not grow with the nodes of its zone,
// each of which requests a view in each interval.
func BenchmarkView(b *testing.B) {
	for _, nodes := range []int{22, 200} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			s := NewState()
			for node := range nodes {
				var entries []Entry
				for engine := range MaxEngines {
					entries = append(entries, counted((node*7+engine)%280, 2, start))
				}
				s.MergeNode(fmt.Sprint("node-", node), entries, start)
			}
			for b.Loop() {
				s.View("node-0", []string{"s"}, start)
			}
		})
	}
}
