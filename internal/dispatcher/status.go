package dispatcher

import (
	"cmp"
	"context"
	"slices"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// States of api.EngineStatus in addition to those that engines report.
const (
	stateLeaving     = "leaving"
	stateUnreachable = "unreachable"
)

// StatusReport is the response of MethodCellStatus (request: message.Empty).
type StatusReport struct {
	Engines []api.EngineStatus `msgpack:"e"`
	Cells   []api.CellStatus   `msgpack:"c"`
}

// EngineStatuses returns the engines of this node's cells, sorted by ID.
func (d *Dispatcher) EngineStatuses() []api.EngineStatus {
	var statuses []api.EngineStatus
	for _, c := range d.allCells() {
		statuses = append(statuses, c.engineStatuses()...)
	}
	slices.SortFunc(statuses, func(a, b api.EngineStatus) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}

// CellStatuses returns this node's cells, sorted by zone, pool and index.
func (d *Dispatcher) CellStatuses() []api.CellStatus {
	var statuses []api.CellStatus
	for _, c := range d.allCells() {
		statuses = append(statuses, CellStatus(c.digest()))
	}
	return statuses
}

// CellStatus converts the digest of a cell to its operator API form.
func CellStatus(digest message.CellDigest) api.CellStatus {
	return api.CellStatus{
		Zone:    digest.Cell.Zone,
		Pool:    digest.Cell.Pool,
		Index:   digest.Cell.Index,
		Node:    digest.Node,
		Engines: digest.Engines,
		Slots:   digest.Slots,
		Running: digest.Running,
		Queued:  digest.Queued,
	}
}

func (d *Dispatcher) handleCellStatus(context.Context, peer.Request) (any, error) {
	return StatusReport{Engines: d.EngineStatuses(), Cells: d.CellStatuses()}, nil
}

func (c *cell) engineStatuses() []api.EngineStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	statuses := make([]api.EngineStatus, 0, len(c.links))
	for _, link := range c.links {
		models := make(map[string]uint64, len(link.status.Models))
		for _, held := range link.status.Models {
			models[held.Model] = held.Version
		}
		statuses = append(statuses, api.EngineStatus{
			ID:       link.id,
			Address:  link.address,
			Zone:     c.id.Zone,
			Pool:     c.id.Pool,
			State:    link.state(),
			Models:   models,
			InFlight: c.scheduler.RunningOn(link.id),
			Node:     c.dispatcher.options.NodeID,
		})
	}
	return statuses
}

// state returns the engine's state as shown to operators.
func (l *engineLink) state() string {
	switch {
	case !l.reachable:
		return stateUnreachable
	case l.leaving && l.status.State == engine.StateServing:
		return stateLeaving
	default:
		return string(l.status.State)
	}
}

func compareCells(a, b message.CellID) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
}
