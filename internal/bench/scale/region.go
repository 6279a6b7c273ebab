package scale

import (
	"fmt"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// notSeen stands for the time of what did not come about during a cut.
const notSeen = -1

// RegionResult tells what becomes of a region that hears nobody outside, and
// not the log, for a while.
type RegionResult struct {
	Region     int     `json:"region"`
	Nodes      int     `json:"nodes"`
	CutSeconds float64 `json:"cut_seconds"`
	// Refusing is when all nodes of the region refused new work; -1 for never.
	Refusing float64 `json:"refusing_seconds"`
	// StreamsOwned is when all streams had owners in the rest; -1 for never.
	StreamsOwned float64 `json:"streams_owned_seconds"`
	// ChangeInRest is the time of a table change in the rest meanwhile.
	ChangeInRest float64 `json:"change_in_rest_seconds"`
	// InsideCells tells that the region's own cells had owners all the time at its end.
	InsideCells bool `json:"inside_cells_owned"`
	// TableHealed, ViewHealed and OwnersHealed count from the end of the cut:
	// the change in force, all nodes known, and all owners known everywhere.
	TableHealed  float64 `json:"table_healed_seconds"`
	ViewHealed   float64 `json:"view_healed_seconds"`
	OwnersHealed float64 `json:"owners_healed_seconds"`
	// PeerPayload is what a node sent a second during the cut.
	PeerPayload float64 `json:"peer_payload_bytes"`
	// Claims counts the log records of all ownership streams, before, during
	// and after the cut.
	Claims int `json:"records_in_streams"`
}

func (r *RegionResult) line() string {
	return fmt.Sprintf("region of %d nodes cut off for %.0f s: refuses work after %.1f s, streams owned in the rest after %.1f s, a table change there %.2f s, %d records in %s; peers %.0f B/s a node; healed: table %.1f s, views %.1f s, owners %.1f s",
		r.Nodes, r.CutSeconds, r.Refusing, r.StreamsOwned, r.ChangeInRest, r.Claims, "the ownership streams",
		r.PeerPayload, r.TableHealed, r.ViewHealed, r.OwnersHealed)
}

// cutRegion cuts the last region off and heals it again.
func (w *World) cutRegion(report *Report) error {
	region := w.settings.Regions - 1
	if region == platformRegion {
		return nil
	}
	result := &RegionResult{
		Region: region, CutSeconds: w.settings.CutSeconds, Refusing: notSeen, StreamsOwned: notSeen,
	}
	report.Region = result
	inside, rest := w.inside(region), w.outside(region)
	result.Nodes = len(inside)
	recordsBefore := w.ownershipRecords()
	w.network.cut(region, true)
	if err := w.watchCut(result, inside, rest); err != nil {
		return err
	}
	w.network.cut(region, false)
	err := w.watchHeal(result)
	result.Claims = w.ownershipRecords() - recordsBefore
	return err
}

func (w *World) inside(region int) []*hollowNode {
	var nodes []*hollowNode
	for _, node := range w.nodes {
		if node.place.region == region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// watchCut measures both sides until the cut has lasted its time.
func (w *World) watchCut(result *RegionResult, inside, rest []*hollowNode) error {
	began, counts := time.Now(), w.network.traffic.counts()
	end := began.Add(time.Duration(w.settings.CutSeconds * float64(time.Second)))
	for time.Now().Before(end) {
		if result.Refusing == notSeen && allRefuse(inside) {
			result.Refusing = time.Since(began).Seconds()
		}
		if result.StreamsOwned == notSeen && w.allOwned(rest) {
			result.StreamsOwned = time.Since(began).Seconds()
		}
		if err := sleep(w.base, lookPause); err != nil {
			return err
		}
	}
	result.InsideCells = w.cellsHaveOwners(w.nodes)
	rates := w.ratesSince(counts, time.Since(began).Seconds()*float64(len(w.nodes)))
	result.PeerPayload = rates.PeerPayload
	took, err := w.changeTableIn(rest)
	result.ChangeInRest = took.Seconds()
	return err
}

// changeTableIn makes a change that only the given nodes can hear of.
func (w *World) changeTableIn(nodes []*hollowNode) (time.Duration, error) {
	all := w.nodes
	w.nodes = nodes
	defer func() { w.nodes = all }()
	return w.changeTable(nodes)
}

// allRefuse reports whether the nodes refuse new work since they may not know
// the newest table.
func allRefuse(nodes []*hollowNode) bool {
	for _, node := range nodes {
		if !errkind.Is(node.tables.Current(), errkind.NotCurrent) {
			return false
		}
	}
	return true
}

// watchHeal measures how both sides come together again.
func (w *World) watchHeal(result *RegionResult) error {
	began := time.Now()
	revision := w.outside(result.Region)[0].tables.Table().Revision
	note := func(into *float64, holds func() bool) {
		if *into == 0 && holds() {
			*into = time.Since(began).Seconds()
		}
	}
	_, err := w.waitUntil(outageLimit, outagePause, func() bool {
		note(&result.TableHealed, func() bool { return w.revisionEverywhere(w.nodes, revision) })
		note(&result.ViewHealed, w.allKnown)
		note(&result.OwnersHealed, func() bool { return w.allOwned(w.nodes) })
		return result.TableHealed > 0 && result.ViewHealed > 0 && result.OwnersHealed > 0
	})
	return wrap(err, "both sides agree again")
}

// ownershipRecords counts the records of all streams that have owners.
func (w *World) ownershipRecords() int {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	count := 0
	for _, name := range w.streams() {
		count += len(w.log.stream(name).records)
	}
	return count
}
