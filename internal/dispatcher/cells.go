package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/routing"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/message"
)

// cellEngines are the engines of one cell by engine ID, as given by the engine list.
type cellEngines map[string]cluster.EngineMachine

// zoneCells caches the cells of this node's zone with the list of machines that they were computed
// from.
type zoneCells struct {
	machines []cluster.EngineMachine
	cells    map[message.CellID]cellEngines
}

// cellsOfZone returns the cells of this node's zone and recomputes them only if the engine list
// changed. Must be called with reconcileMutex held.
func (d *Dispatcher) cellsOfZone() map[message.CellID]cellEngines {
	machines := d.options.EngineList.Engines(d.options.Zone)
	if d.zoneCells.cells == nil || !slices.Equal(d.zoneCells.machines, machines) {
		d.zoneCells = zoneCells{
			machines: slices.Clone(machines),
			cells:    partitionZone(d.options.Zone, machines),
		}
	}
	return d.zoneCells.cells
}

// partitionZone partitions a zone's engines into cells.
func partitionZone(zone string, machines []cluster.EngineMachine) map[message.CellID]cellEngines {
	byID := make(map[string]cluster.EngineMachine, len(machines))
	pools := make(map[string][]string)
	for _, machine := range machines {
		if _, duplicate := byID[machine.ID]; duplicate {
			continue
		}
		byID[machine.ID] = machine
		pools[machine.Pool] = append(pools[machine.Pool], machine.ID)
	}
	assigned := make(map[message.CellID]cellEngines)
	for pool, ids := range pools {
		for id, members := range routing.AssignCells(zone, pool, ids) {
			engines := make(cellEngines, len(members))
			for _, member := range members {
				engines[member] = byID[member]
			}
			assigned[id] = engines
		}
	}
	return assigned
}

// reconcile opens, updates and closes cells to match the engine list, the cluster members and the
// policy table.
func (d *Dispatcher) reconcile(now time.Time) {
	d.reconcileMutex.Lock()
	defer d.reconcileMutex.Unlock()
	d.reconciledAt = now
	assigned := d.cellsOfZone()
	pools := newPoolCells(assigned, d.options.View.Cells())
	members := memberIDs(d.options.View.Candidates(d.options.Zone))

	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.assigned = assigned
	d.poolCells = pools
	for id := range assigned {
		if d.owns(id, members) && d.cells[id] == nil {
			d.cells[id] = newCell(d, id)
		}
	}
	for id, c := range d.cells {
		if c.reconcile(now, assigned[id], d.owns(id, members), d.liveReserve(id.Pool)) {
			continue
		}
		c.close()
		delete(d.cells, id)
		d.metrics.deleteCell(id)
	}
}

func (d *Dispatcher) owns(id message.CellID, members []string) bool {
	return routing.CellOwner(id, members) == d.options.NodeID
}

func memberIDs(members []cluster.Member) []string {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// liveReserve returns the share of a pool's slots that trainers must leave free: the default if live
// services and trainers share the pool, else 0.
func (d *Dispatcher) liveReserve(pool string) float64 {
	live, trainer := false, false
	for _, row := range d.options.Tables.Table().Rows {
		if row.Pool != pool {
			continue
		}
		live = live || row.Kind == policy.KindLive
		trainer = trainer || row.Kind == policy.KindTrainer
	}
	if live && trainer {
		return scheduler.DefaultLiveReserve
	}
	return 0
}

// cell returns a cell by its ID. A cell that rendezvous hashing assigns to another node is opened as
// well if the engine list has it: two dispatchers that briefly serve one cell cost efficiency, not
// correctness.
func (d *Dispatcher) cell(id message.CellID) (*cell, error) {
	if c := d.findOrOpen(id); c != nil {
		return c, nil
	}
	d.reconcileOnDemand(time.Now())
	if c := d.findOrOpen(id); c != nil {
		return c, nil
	}
	return nil, errkind.New(errkind.NotOwner, "node %s has no engines for cell %s", d.options.NodeID, cellName(id))
}

// reconcileOnDemand reconciles unless that was done within the last tick interval, so that submissions
// for unknown cells stay cheap.
func (d *Dispatcher) reconcileOnDemand(now time.Time) {
	d.reconcileMutex.Lock()
	recent := now.Sub(d.reconciledAt) < tickInterval
	d.reconcileMutex.Unlock()
	if !recent {
		d.reconcile(now)
	}
}

// findOrOpen returns an open cell, or opens one that the engine list had at the last reconciliation;
// nil if there is none.
func (d *Dispatcher) findOrOpen(id message.CellID) *cell {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if c := d.cells[id]; c != nil {
		return c
	}
	engines, listed := d.assigned[id]
	if !listed {
		return nil
	}
	c := newCell(d, id)
	c.reconcile(time.Now(), engines, false, d.liveReserve(id.Pool))
	d.cells[id] = c
	return c
}

func (d *Dispatcher) find(id message.CellID) *cell {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.cells[id]
}

// allCells returns the open cells sorted by ID.
func (d *Dispatcher) allCells() []*cell {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	cells := slices.Collect(maps.Values(d.cells))
	slices.SortFunc(cells, func(a, b *cell) int { return compareCells(a.id, b.id) })
	return cells
}

// reconcile opens and closes engine links to match the list. It returns false if the cell may be
// closed.
func (c *cell) reconcile(now time.Time, engines cellEngines, owned bool, liveReserve float64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owned = owned
	if !owned {
		clear(c.directives)
	}
	c.scheduler.SetLiveReserve(liveReserve)
	for id, link := range c.links {
		if machine, listed := engines[id]; !listed || machine.Address != link.address {
			c.closeLink(link)
		}
	}
	for id, machine := range engines {
		link, known := c.links[id]
		if !known {
			c.openLink(machine)
		} else if link.leaving != machine.Leaving {
			link.leaving = machine.Leaving
			c.updateScheduler(link, false)
		}
	}
	c.dispatch(now)
	idle := len(c.tasks) == 0 && now.Sub(c.lastSubmitAt) > cellIdleTimeout
	return (owned && len(engines) > 0) || !idle
}

// close closes all engine links. The cell must have no tasks.
func (c *cell) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, link := range c.links {
		c.closeLink(link)
	}
}
