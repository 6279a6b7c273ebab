package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

// BenchmarkControlTraffic reports the control bytes sent per node and second at the default probe interval,
// in zones of 25 nodes with a busy cell each. One iteration is one second.
func BenchmarkControlTraffic(b *testing.B) {
	for _, zones := range []int{1, 2, 6} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) { benchmarkTraffic(b, zones, 25) })
	}
}

// settleTime is the time for join traffic to subside before the measurement.
const settleTime = 15 * time.Second

func benchmarkTraffic(b *testing.B, zones, size int) {
	source := &fakeMachines{}
	var list []machines.Machine
	for i := range 360 {
		list = append(list, newEngine(fmt.Sprintf("engine-%03d", i), "z00", machines.StateLive))
	}
	source.set(false, list...)
	var nodes []*testNode
	var seeds []string
	for i := range zones * size {
		zone := fmt.Sprintf("z%02d", i/size)
		node := startNode(b, testSettings{
			id: fmt.Sprintf("%s-node-%02d", zone, i), zone: zone, writer: "d0e1f2g3h4-",
			seeds: seeds, machines: source, interval: DefaultProbeInterval,
		})
		nodes = append(nodes, node)
		if len(seeds) < 3 {
			seeds = append(seeds, node.Self().Address)
		}
	}
	eventually(b, "all have joined", allSeeAlive(nodes, len(nodes)))
	time.Sleep(settleTime)
	before := sentByMethod(nodes)
	b.ResetTimer()
	for second := range b.N {
		for i, node := range nodes {
			node.AnnounceCell(busyCell(node.Self().Zone, i, second))
		}
		time.Sleep(time.Second)
	}
	b.StopTimer()
	total := 0.0
	for method, bytes := range sentByMethod(nodes) {
		rate := float64(bytes-before[method]) / float64(b.N) / float64(len(nodes))
		b.ReportMetric(rate, string(method)+"-B/node/s")
		total += rate
	}
	b.ReportMetric(total, "B/node/s")
	for _, node := range nodes {
		assert.Equal(b, len(node.Members()), len(nodes))
	}
}

func sentByMethod(nodes []*testNode) map[peer.Method]uint64 {
	sums := make(map[peer.Method]uint64)
	for _, node := range nodes {
		for method, stats := range node.transport.Stats() {
			if stats.BytesSent > 0 {
				sums[method] += stats.BytesSent
			}
		}
	}
	return sums
}

// busyCell returns a digest whose load changes by half its slots each second.
func busyCell(zone string, index, second int) message.CellDigest {
	return message.CellDigest{
		Cell:     message.CellID{Zone: zone, Pool: "pool-a", Index: index},
		Sequence: uint64(second + 1), Engines: 16, Slots: 256, Running: 64 + 128*(second%2), Queued: second,
		Models: []message.ModelCount{
			{ModelVersion: engine.ModelVersion{Model: "model-large", Version: 7}, Engines: 16},
			{ModelVersion: engine.ModelVersion{Model: "adapter-12", Version: 3}, Engines: 8},
		},
	}
}
