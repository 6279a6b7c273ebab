package scale

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// experiment is one thing that happens to a running deployment.
type experiment struct {
	name string
	run  func(w *World, report *Report) error
}

var experiments = []experiment{
	{name: "tables", run: (*World).changeTables},
	{name: "weights", run: (*World).rollOut},
	{name: "rack", run: (*World).loseRack},
	{name: "zone", run: (*World).loseZone},
	{name: "region", run: (*World).cutRegion},
	{name: "churn", run: (*World).churn},
}

// chosen reports whether the list names the experiment; an empty one names all.
func chosen(only, name string) bool {
	if only == "" {
		return true
	}
	for _, listed := range strings.Split(only, ",") {
		if listed == name {
			return true
		}
	}
	return false
}

func checkNames(only string) error {
	if only == "" {
		return nil
	}
	for _, listed := range strings.Split(only, ",") {
		known := listed == "steady"
		for _, experiment := range experiments {
			known = known || experiment.name == listed
		}
		if !known {
			return errors.Errorf("--only: unknown experiment %q", listed)
		}
	}
	return nil
}

const (
	tableLimit = time.Minute
	tablePause = 5 * time.Millisecond
	// maxShare is the largest share of a row.
	maxShare = 1000
	// changePause lets the announcements of one change run out.
	changePause = time.Second
)

// TableResult is the time from a proposal until its table is in force.
type TableResult struct {
	// All: on all nodes. WithoutLog: on the nodes of a region that can't
	// reach the log, and hears of the change from the others only.
	All        Spread `json:"all"`
	WithoutLog Spread `json:"without_log"`
}

// changeTables makes table changes through random nodes.
func (w *World) changeTables(report *Report) error {
	var all []time.Duration
	for range w.settings.Changes {
		took, err := w.changeTable(w.nodes)
		if err != nil {
			return err
		}
		all = append(all, took)
	}
	withoutLog, err := w.changeTablesWithoutLog()
	if err != nil {
		return err
	}
	report.Tables = &TableResult{All: spreadOf(all), WithoutLog: spreadOf(withoutLog)}
	return nil
}

// changeTablesWithoutLog keeps one region from the log, but not from the nodes.
func (w *World) changeTablesWithoutLog() ([]time.Duration, error) {
	cut := w.settings.Regions - 1
	if cut == platformRegion {
		return nil, nil
	}
	w.noLog.Store(int64(cut))
	defer w.noLog.Store(noRegion)
	var times []time.Duration
	for range w.settings.Changes {
		took, err := w.changeTable(w.outside(cut))
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	return times, nil
}

// changeTable proposes a change at one of the nodes and waits until it is in
// force on all nodes.
func (w *World) changeTable(proposers []*hollowNode) (time.Duration, error) {
	at := proposers[w.random.IntN(len(proposers))]
	rows := append([]policy.Row(nil), at.tables.Table().Rows...)
	row := &rows[w.random.IntN(len(rows))]
	row.Share = row.Share%maxShare + 1 // another share than before
	began := time.Now()
	accepted, err := at.tables.Propose(w.base, proposalOf(at, rows))
	if err != nil {
		return 0, errors.Wrap(err, "propose a change")
	}
	if len(accepted.Changes) != 1 {
		return 0, errors.Errorf("a change of one row was accepted as %d changes", len(accepted.Changes))
	}
	_, err = w.waitUntil(tableLimit, tablePause, func() bool { return w.revisionEverywhere(w.nodes, accepted.Revision) })
	if err != nil {
		return 0, errors.Wrap(err, "change in force everywhere")
	}
	took := time.Since(began)
	return took, sleep(w.base, changePause)
}

// outside returns the nodes of the other regions.
func (w *World) outside(region int) []*hollowNode {
	var nodes []*hollowNode
	for _, node := range w.nodes {
		if node.place.region != region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// WeightsResult is a change of all weights.
type WeightsResult struct {
	// Seconds until all engines had the version, for each of the rollouts.
	Seconds        []float64 `json:"seconds"`
	Orders         uint64    `json:"orders"`
	PeakOrders     float64   `json:"peak_orders"` // in a second
	PeakDirectives uint64    `json:"peak_directives"`
	Refused        uint64    `json:"refused_downloads"`
}

const (
	rollouts     = 3
	rolloutLimit = 3 * time.Minute
	rolloutPause = time.Second
)

// rollOut publishes new versions of all models at once, one after the other.
func (w *World) rollOut(report *Report) error {
	result := &WeightsResult{}
	report.Weights = result
	ordersBefore, refusedBefore := w.orders.Load(), w.store.refused.Load()
	for range rollouts {
		took, err := w.rollOutOnce(result)
		result.Seconds = append(result.Seconds, took.Seconds())
		if errors.Is(err, errNotInTime) {
			break // the report says so: the time is the limit
		}
		if err != nil {
			return err
		}
	}
	result.Orders = w.orders.Load() - ordersBefore
	result.Refused = w.store.refused.Load() - refusedBefore
	return nil
}

func (w *World) rollOutOnce(result *WeightsResult) (time.Duration, error) {
	version := w.latest.Add(1)
	orders, directives, second := w.orders.Load(), w.directives(), time.Now()
	return w.waitUntil(rolloutLimit, rolloutPause/20, func() bool {
		if elapsed := time.Since(second); elapsed >= rolloutPause {
			ordersNow, directivesNow := w.orders.Load(), w.directives()
			result.PeakOrders = max(result.PeakOrders, float64(ordersNow-orders)/elapsed.Seconds())
			result.PeakDirectives = max(result.PeakDirectives, directivesNow-directives)
			orders, directives, second = ordersNow, directivesNow, time.Now()
		}
		for _, cell := range w.cells {
			if cell.behind(version) > 0 {
				return false
			}
		}
		return true
	})
}

// directives counts the messages of directives, questions and answers.
func (w *World) directives() uint64 {
	return w.network.traffic.counts()[peer.MethodDirective].Messages
}
