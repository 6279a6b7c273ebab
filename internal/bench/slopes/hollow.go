package slopes

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/router"
)

// routerStaleAfter is the router's own limit for late digests.
const routerStaleAfter = router.DefaultStaleAfter

var errNoCell = errors.New("no cell was chosen")

// hollowNode is all that gateway, router and dispatcher use of their node: a
// View, an Announcer, an EngineList and a policy.Source that never change.
// The methods that it lacks must not be called.
type hollowNode struct {
	cluster.View
	cluster.Announcer
	self    cluster.Member
	members []cluster.Member
	cells   []message.CellDigest
	engines []cluster.EngineMachine
	table   *policy.Table
	// owns is the number of streams that the node last announced as its own.
	owns atomic.Int64
}

func (n *hollowNode) Self() cluster.Member                    { return n.self }
func (n *hollowNode) Members() []cluster.Member               { return n.members }
func (n *hollowNode) Candidates(string) []cluster.Member      { return n.members }
func (n *hollowNode) Cells() []message.CellDigest             { return n.cells }
func (n *hollowNode) Engines(string) []cluster.EngineMachine  { return n.engines }
func (n *hollowNode) AnnounceCell(message.CellDigest)         {}
func (n *hollowNode) AnnounceOwned(owned []cluster.Ownership) { n.owns.Store(int64(len(owned))) }
func (n *hollowNode) ObserveCell(message.CellDigest)          {}
func (n *hollowNode) Table() *policy.Table                    { return n.table }
func (n *hollowNode) Changed(int64) <-chan struct{}           { return nil }
func (n *hollowNode) Current() error                          { return nil }

func hollowTable() *policy.Table {
	return &policy.Table{Revision: 1, Rows: hollowRows(1)}
}

// hollowRows returns valid rows of live services and trainers, sorted by service.
func hollowRows(count int) []policy.Row {
	rows := make([]policy.Row, 0, count)
	for index := range count {
		row := policy.Row{
			Service: fmt.Sprintf("service-%05d", index), Kind: policy.KindLive, Pool: hollowPool, Model: hollowModel,
			Priority: index % 10, Share: 100, Staleness: 2, Repeatable: true,
			Zones: []string{"zone-00", "zone-01", "zone-02"}, Floor: 50,
		}
		rows = append(rows, row)
	}
	return rows
}

func hollowMember(id, address, zone string) cluster.Member {
	return cluster.Member{
		ID: id, Writer: id + "-d0e1f2g3h4", Address: address, Zone: zone,
		State: cluster.StateAlive, TableRevision: 1,
	}
}

// patience bounds each wait of a measurement.
const patience = 20 * time.Second
