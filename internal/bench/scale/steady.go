package scale

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// settleTime lets the news of the joins run out before the measurement.
	settleTime = 20 * time.Second
	joinLimit  = 2 * time.Minute
	lookPause  = 250 * time.Millisecond
)

// errNotInTime: an experiment did not come to its end.
var errNotInTime = errors.New("did not come about in time")

// waitUntil looks until holds is true. It returns the time that took.
func (w *World) waitUntil(limit, pause time.Duration, holds func() bool) (time.Duration, error) {
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			return limit, errNotInTime
		}
		if err := sleep(w.base, pause); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

// waitJoined waits until all nodes know all nodes, have the table, and all
// streams have owners.
func (w *World) waitJoined() error {
	_, err := w.waitUntil(joinLimit, lookPause, func() bool {
		return w.allKnown() && w.allOwned(w.nodes) && w.revisionEverywhere(w.nodes, 1)
	})
	if err != nil {
		return errors.Wrap(err, "all nodes join: "+w.describeJoin())
	}
	return nil
}

// describeJoin tells how far the nodes have come together.
func (w *World) describeJoin() string {
	knowing, known, owning, current := 0, 0, 0, 0
	for _, node := range w.nodes {
		count := len(node.cluster.Candidates(""))
		known += count
		if count == len(w.nodes) {
			knowing++
		}
		if w.allOwned([]*hollowNode{node}) {
			owning++
		}
		if node.tables.Table().Revision > 0 {
			current++
		}
	}
	return fmt.Sprintf("of %d nodes %d know all (mean %d), %d have the table, %d know owners of all streams%s",
		len(w.nodes), knowing, known/len(w.nodes), current, owning, w.describeOrphans())
}

// describeOrphans lists the streams that few nodes know an owner of.
func (w *World) describeOrphans() string {
	var lines string
	for _, stream := range w.streams() {
		knowing := 0
		for _, node := range w.nodes {
			if _, _, known := node.cluster.Owner(stream); known {
				knowing++
			}
		}
		if knowing < len(w.nodes) {
			lines += fmt.Sprintf("; %s is known to %d", stream, knowing)
		}
	}
	return lines
}

// allKnown reports whether each node knows each.
func (w *World) allKnown() bool {
	for _, node := range w.nodes {
		if len(node.cluster.Candidates("")) != len(w.nodes) {
			return false
		}
	}
	return true
}

// allOwned reports whether each of the nodes knows an owner among them for
// each stream.
func (w *World) allOwned(nodes []*hollowNode) bool {
	live := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		live[node.id] = true
	}
	for _, stream := range w.streams() {
		for _, node := range nodes {
			if owner, _, known := node.cluster.Owner(stream); !known || !live[owner.ID] {
				return false
			}
		}
	}
	return true
}

func (w *World) revisionEverywhere(nodes []*hollowNode, revision int64) bool {
	for _, node := range nodes {
		if node.tables.Table().Revision < revision {
			return false
		}
	}
	return true
}

// measureSteady measures what nodes cost while nothing happens.
func (w *World) measureSteady(report *Report, heapBefore uint64) error {
	if err := sleep(w.base, settleTime); err != nil {
		return err
	}
	began, processor, counts := time.Now(), processorTime(), w.network.traffic.counts()
	if err := sleep(w.base, time.Duration(w.settings.Seconds*float64(time.Second))); err != nil {
		return err
	}
	perNode := time.Since(began).Seconds() * float64(len(w.nodes))
	used := processorTime() - processor
	report.Steady = w.ratesSince(counts, perNode)
	report.Steady.CPU = 100 * used.Seconds() / perNode
	heap := heapInUse()
	report.Steady.Heap = (float64(heap) - float64(heapBefore)) / float64(len(w.nodes))
	report.Steady.Goroutines = float64(runtime.NumGoroutine()) / float64(len(w.nodes))
	return nil
}

// ratesSince divides what was sent since the counts by the node-seconds.
func (w *World) ratesSince(before map[peer.Method]Count, nodeSeconds float64) Steady {
	rates := Steady{Classes: make(map[string]RateLine)}
	for class, count := range w.network.traffic.counts() {
		since := count.minus(before[class])
		line := RateLine{
			Messages: float64(since.Messages) / nodeSeconds,
			Payload:  float64(since.Payload) / nodeSeconds,
			Wire:     float64(since.Wire) / nodeSeconds,
		}
		rates.Classes[string(class)] = line
		if isPlatform(class) {
			rates.PlatformWire += line.Wire
			continue
		}
		rates.PeerPayload += line.Payload
		rates.PeerWire += line.Wire
		rates.Messages += line.Messages
	}
	return rates
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }

// wrap is errors.Wrap for an error that may be nil.
func wrap(err error, what string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, what)
}
