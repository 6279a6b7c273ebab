package peerload

import (
	"fmt"
	"testing"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// BenchmarkInterval reports the calls and the encoded bytes per second of all nodes at an interval of 100 ms, without
// HTTP headers, and the time of a call at both ends, without a network. The numbers of nodes, zones and engines are
// those of docs/design/load-exchange.md; each node has requests at the given number of engines.
func BenchmarkInterval(b *testing.B) {
	for _, size := range []struct{ nodes, zones, engines, inUse int }{
		{71, 5, 53, 4}, {71, 5, 53, 53}, {87, 4, 49, 4}, {87, 4, 49, 49}, {420, 5, 280, 4}, {420, 5, 280, 64},
	} {
		b.Run(fmt.Sprintf("nodes=%d/engines=%d", size.nodes, size.inUse), func(b *testing.B) {
			c, transport := newLocalCluster(size.nodes, size.zones, size.engines)
			// keepInUse gives each node one request in flight and a report of each of its engines.
			keepInUse := func() {
				for number, n := range c.nodes {
					for engine := range size.inUse {
						id := engineID((number*7 + engine) % size.engines)
						n.fleet.RequestStarted(id)
						n.fleet.RequestEnded(id, fleet.Outcome{At: c.clock.read(), Load: &fleet.Load{Running: 8, Waiting: 3}})
						n.fleet.RequestStarted(id)
					}
				}
			}
			tick := func() {
				for _, n := range c.nodes {
					n.tick(b.Context())
					n.swaps.Wait()
				}
				c.clock.advance(c.interval)
			}
			keepInUse()
			tick()
			transport.take()
			calls, bytes, intervals := 0, 0, 0
			var took time.Duration
			for b.Loop() {
				b.StopTimer()
				keepInUse()
				b.StartTimer()
				began := time.Now()
				for range swapTicks {
					tick()
				}
				took += time.Since(began)
				intervals += swapTicks
				newCalls, newBytes := transport.take()
				calls, bytes = calls+newCalls, bytes+newBytes
			}
			seconds := float64(intervals) * c.interval.Seconds()
			b.ReportMetric(float64(calls)/seconds, "calls/s")
			b.ReportMetric(float64(bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(bytes)/float64(calls), "bytes/call")
			b.ReportMetric(float64(took.Microseconds())/float64(calls), "µs/call")
		})
	}
}
