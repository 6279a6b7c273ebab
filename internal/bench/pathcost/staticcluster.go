package pathcost

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// The service, its placement and the node IDs used by the measurement.
const (
	service      = "lookup"
	model        = "clerk"
	modelVersion = 1
	zone         = "a"
	pool         = "pool"
	engineID     = "engine"
	gatewayID    = "gateway"
	dispatcherID = "dispatcher"
)

// staticCluster is the cluster view, policy table and machine list of a measured
// process. It never changes, so that only the data path is measured.
type staticCluster struct {
	self string
	// dispatcher is the peer address of the dispatcher.
	dispatcher string
	engine     string
}

var _ cluster.View = (*staticCluster)(nil)

func (s *staticCluster) member(id, address string) cluster.Member {
	return cluster.Member{ID: id, Address: address, Zone: zone, State: cluster.StateAlive}
}

// Self implements cluster.View.
func (s *staticCluster) Self() cluster.Member { return s.member(s.self, s.dispatcher) }

// Members implements cluster.View.
func (s *staticCluster) Members() []cluster.Member { return s.Candidates(zone) }

// Candidates implements cluster.View.
func (s *staticCluster) Candidates(string) []cluster.Member {
	return []cluster.Member{s.member(dispatcherID, s.dispatcher)}
}

// Owner implements cluster.View.
func (s *staticCluster) Owner(string) (cluster.Member, int64, bool) {
	return cluster.Member{}, 0, false
}

// Cells implements cluster.View.
func (s *staticCluster) Cells() []message.CellDigest {
	held := engine.ModelVersion{Model: model, Version: modelVersion}
	return []message.CellDigest{{
		Cell:    message.CellID{Zone: zone, Pool: pool},
		Node:    dispatcherID,
		Address: s.dispatcher,
		Engines: 1,
		Slots:   maxStreams,
		Models:  []message.ModelCount{{ModelVersion: held, Engines: 1}},
	}}
}

// Reachability implements cluster.View.
func (s *staticCluster) Reachability() (reachable, known int) { return 1, 1 }

// LogContact implements cluster.View.
func (s *staticCluster) LogContact() time.Time { return time.Now() }

// AnnounceOwnedStreams implements cluster.Announcer.
func (s *staticCluster) AnnounceOwnedStreams([]cluster.Ownership) {}

// AnnounceCell implements cluster.Announcer.
func (s *staticCluster) AnnounceCell(message.CellDigest) {}

// ObserveCell implements cluster.Announcer.
func (s *staticCluster) ObserveCell(message.CellDigest) {}

// AnnounceTableRevision implements cluster.Announcer.
func (s *staticCluster) AnnounceTableRevision(int64) {}

// AnnounceLogContact implements cluster.Announcer.
func (s *staticCluster) AnnounceLogContact(time.Time) {}

// AnnounceLeaving implements cluster.Announcer.
func (s *staticCluster) AnnounceLeaving() {}

// Engines implements cluster.EngineList.
func (s *staticCluster) Engines(string) []cluster.EngineMachine {
	return []cluster.EngineMachine{{ID: engineID, Address: s.engine, Zone: zone, Pool: pool}}
}

var table = policy.Table{Revision: 1, Rows: []policy.Row{{
	Service: service, Kind: policy.KindLive, Pool: pool, Model: model,
	Priority: 9, Share: 100, Staleness: -1, Repeatable: true,
}}}

// Table implements policy.Source.
func (s *staticCluster) Table() *policy.Table { return &table }

// Changed implements policy.Source.
func (s *staticCluster) Changed(int64) <-chan struct{} { return nil }

// CheckCurrent implements policy.Source.
func (s *staticCluster) CheckCurrent() error { return nil }
