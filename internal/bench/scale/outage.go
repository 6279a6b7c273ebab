package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	outageLimit = 2 * time.Minute
	outagePause = 50 * time.Millisecond
	// rackShare is the part of a zone's nodes in one rack (one in rackShare).
	rackShare = 3
)

// OutageResult tells how the rest goes on when some nodes die at once. A time
// equal to the limit means that it did not come about.
type OutageResult struct {
	What  string `json:"what"`
	Nodes int    `json:"nodes"`
	// StreamsLost is how many streams the dead nodes owned, CellsLost how many
	// cells of zones that live on.
	StreamsLost int `json:"streams_lost"`
	CellsLost   int `json:"cells_lost"`
	// Detected is when no live node takes a dead one for a candidate;
	// CellsOwned and StreamsOwned when all have live owners known everywhere.
	Detected     float64 `json:"detected_seconds"`
	CellsOwned   float64 `json:"cells_owned_seconds"`
	StreamsOwned float64 `json:"streams_owned_seconds"`
	// PeerPayload is what a node sent a second meanwhile, at the mean and in
	// the busiest second of all.
	PeerPayload float64 `json:"peer_payload_bytes"`
	PeakPayload float64 `json:"peak_payload_bytes"`
	// Back is the time from the restart until all nodes know all again.
	Back float64 `json:"back_seconds"`
}

func (o *OutageResult) line() string {
	return fmt.Sprintf("%s of %d nodes lost (%d streams, %d cells): not a candidate anywhere after %.1f s, cells owned %.1f s, streams owned %.1f s; peers %.0f B/s a node, busiest second %.0f; back %.1f s",
		o.What, o.Nodes, o.StreamsLost, o.CellsLost, o.Detected, o.CellsOwned, o.StreamsOwned, o.PeerPayload, o.PeakPayload, o.Back)
}

// loseRack kills the nodes of one zone that own streams first, up to a rack.
func (w *World) loseRack(report *Report) error {
	victims := w.nodesOf(w.busiestZone())
	slices.SortStableFunc(victims, func(a, b *hollowNode) int { return w.streamsOwned(b) - w.streamsOwned(a) })
	result, err := w.lose("rack", victims[:max(1, len(victims)/rackShare)])
	report.Rack = result
	return err
}

// loseZone kills all nodes of the zone that owns most streams.
func (w *World) loseZone(report *Report) error {
	if w.settings.Zones == 1 {
		return nil
	}
	result, err := w.lose("zone", w.nodesOf(w.busiestZone()))
	report.Zone = result
	return err
}

func (w *World) nodesOf(zone string) []*hollowNode {
	var nodes []*hollowNode
	for _, node := range w.nodes {
		if node.place.zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (w *World) streamsOwned(node *hollowNode) int { return len(node.cluster.Self().Owned) }

// busiestZone is the zone, not that of the seeds, whose nodes own most streams.
func (w *World) busiestZone() string {
	owned := make(map[string]int)
	for _, node := range w.nodes {
		owned[node.place.zone] += w.streamsOwned(node)
	}
	busiest := w.zoneAt(w.settings.Zones - 1).zone
	for _, zone := range sortedKeys(owned) {
		if owned[zone] > owned[busiest] {
			busiest = zone
		}
	}
	return busiest
}

// lose kills the nodes and measures how the others go on; then it starts them again.
func (w *World) lose(what string, victims []*hollowNode) (*OutageResult, error) {
	result := &OutageResult{What: what, Nodes: len(victims), CellsLost: w.cellsOf(victims)}
	for _, node := range victims {
		result.StreamsLost += w.streamsOwned(node)
	}
	var ending sync.WaitGroup
	for _, node := range victims {
		ending.Go(node.crash)
		w.list(node.identity, false)
	}
	alive := slices.DeleteFunc(slices.Clone(w.nodes), func(node *hollowNode) bool { return slices.Contains(victims, node) })
	err := w.watchOutage(result, alive, victims)
	ending.Wait()
	if err != nil {
		return result, err
	}
	return result, w.restart(result, victims)
}

// watchOutage takes the times at which each part is whole again.
func (w *World) watchOutage(result *OutageResult, alive, dead []*hollowNode) error {
	began, counts := time.Now(), w.network.traffic.counts()
	second, last := began, counts
	note := func(into *float64, holds func() bool) {
		if *into == 0 && holds() {
			*into = time.Since(began).Seconds()
		}
	}
	_, err := w.waitUntil(outageLimit, outagePause, func() bool {
		note(&result.Detected, func() bool { return !anyCandidate(alive, dead) })
		note(&result.CellsOwned, func() bool { return w.cellsHaveOwners(alive) })
		note(&result.StreamsOwned, func() bool { return w.allOwned(alive) })
		if elapsed := time.Since(second); elapsed >= time.Second {
			rate := w.ratesSince(last, elapsed.Seconds()*float64(len(alive))).PeerPayload
			result.PeakPayload = max(result.PeakPayload, rate)
			second, last = time.Now(), w.network.traffic.counts()
		}
		return result.Detected > 0 && result.CellsOwned > 0 && result.StreamsOwned > 0
	})
	result.PeerPayload = w.ratesSince(counts, time.Since(began).Seconds()*float64(len(alive))).PeerPayload
	if errors.Is(err, errNotInTime) {
		result.setLimits()
		return nil
	}
	return err
}

// setLimits gives the limit for what did not come about.
func (o *OutageResult) setLimits() {
	for _, unset := range []*float64{&o.Detected, &o.CellsOwned, &o.StreamsOwned} {
		if *unset == 0 {
			*unset = outageLimit.Seconds()
		}
	}
}

// anyCandidate reports whether a live node takes a dead one for a candidate.
func anyCandidate(alive, dead []*hollowNode) bool {
	gone := make(map[string]bool, len(dead))
	for _, node := range dead {
		gone[node.id] = true
	}
	for _, node := range alive {
		for _, member := range node.cluster.Candidates("") {
			if gone[member.ID] {
				return true
			}
		}
	}
	return false
}

// cellsOf counts the cells that the nodes own.
func (w *World) cellsOf(nodes []*hollowNode) int {
	count := 0
	for _, node := range nodes {
		count += len(node.dispatcher.ownedCells())
	}
	return count
}

// cellsHaveOwners reports whether each cell of a zone with a live node is
// owned by exactly one of the nodes.
func (w *World) cellsHaveOwners(alive []*hollowNode) bool {
	owners := make(map[message.CellID]int)
	zones := make(map[string]bool)
	for _, node := range alive {
		zones[node.place.zone] = true
		for _, cell := range node.dispatcher.ownedCells() {
			owners[cell.id]++
		}
	}
	for id := range w.cells {
		if zones[id.Zone] && owners[id] != 1 {
			return false
		}
	}
	return true
}

// restart starts the nodes as new processes and waits until all know all.
func (w *World) restart(result *OutageResult, victims []*hollowNode) error {
	began := time.Now()
	for i, node := range w.nodes {
		if slices.Contains(victims, node) {
			w.list(node.identity, true)
			w.nodes[i] = w.startNode(node.identity)
		}
	}
	if _, err := w.waitUntil(joinLimit, lookPause, w.allKnown); err != nil {
		return wrap(err, "all nodes join again")
	}
	result.Back = time.Since(began).Seconds()
	return nil
}
