package cluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

const (
	// pollTimeout bounds one read of the machine list.
	pollTimeout = 5 * time.Second
	// silentPeriods is after how many protocol periods without a good read in
	// the zone every node reads the list.
	silentPeriods = 16
	// pollersKey and pollersPerZone choose the nodes that read the list.
	pollersKey     = "machine-list"
	pollersPerZone = 2
)

// engineState is the zone's engine list as this node knows it.
type engineState struct {
	list []EngineMachine // sorted by ID; replaced, never changed
	hash uint64
	// confirmedAt is when a node of the zone last read this list from the
	// platform; zero when no list is known.
	confirmedAt time.Time
	failing     bool
	// wanted is set when another node is known to have a fresher list.
	wanted bool
}

// engineStamp tells which list a node has and how old it is.
type engineStamp struct {
	Hash uint64
	// Age is in milliseconds since the list was read; negative when there is none.
	Age int64
}

// engineDelta is the change from one list to the next.
type engineDelta struct {
	Base    uint64
	Stamp   engineStamp
	Changed []EngineMachine
	Removed []string
}

func compareEngines(a, b EngineMachine) int { return cmp.Compare(a.ID, b.ID) }

func hashEngines(list []EngineMachine) uint64 {
	digest := xxhash.New()
	for _, engine := range list {
		for _, field := range []string{engine.ID, engine.Address, engine.Zone, engine.Pool} {
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
		if engine.Leaving {
			_, _ = digest.Write([]byte{1})
		}
	}
	return digest.Sum64()
}

func (e *engineState) stamp(now time.Time) engineStamp {
	if e.confirmedAt.IsZero() {
		return engineStamp{Age: -1}
	}
	return engineStamp{Hash: e.hash, Age: max(0, now.Sub(e.confirmedAt).Milliseconds())}
}

func (e *engineState) pollPeriods() int {
	if e.failing {
		return pollPeriodsFailing
	}
	return pollPeriods
}

// replace puts a list in force that was good at the time.
func (e *engineState) replace(list []EngineMachine, hash uint64, at time.Time) {
	e.list, e.hash, e.confirmedAt = list, hash, at
	e.wanted = false
}

// diff returns the change to the next list.
func (e *engineState) diff(next []EngineMachine) *engineDelta {
	delta := &engineDelta{Base: e.hash}
	for _, engine := range next {
		at, known := slices.BinarySearchFunc(e.list, engine, compareEngines)
		if !known || e.list[at] != engine {
			delta.Changed = append(delta.Changed, engine)
		}
	}
	for _, engine := range e.list {
		if _, stays := slices.BinarySearchFunc(next, engine, compareEngines); !stays {
			delta.Removed = append(delta.Removed, engine.ID)
		}
	}
	return delta
}

// apply returns the list after the change.
func (d *engineDelta) apply(list []EngineMachine) []EngineMachine {
	next := slices.DeleteFunc(slices.Clone(list), func(engine EngineMachine) bool {
		return slices.Contains(d.Removed, engine.ID) ||
			slices.ContainsFunc(d.Changed, func(changed EngineMachine) bool { return changed.ID == engine.ID })
	})
	next = append(next, d.Changed...)
	slices.SortFunc(next, compareEngines)
	return next
}

// takeDelta takes a pushed change that fits the list at hand; called with the
// lock held. One that does not fit is answered by this node's stamp, and the
// pusher sends the whole list.
func (c *Cluster) takeDelta(delta *engineDelta, now time.Time) {
	if delta == nil || delta.Stamp.Age < 0 {
		return
	}
	at := now.Add(-time.Duration(delta.Stamp.Age) * time.Millisecond)
	if !at.After(c.engines.confirmedAt) {
		return
	}
	var base []EngineMachine
	if delta.Base != 0 {
		if delta.Base != c.engines.hash {
			return
		}
		base = c.engines.list
	}
	next := delta.apply(base)
	if hashEngines(next) == delta.Stamp.Hash {
		c.engines.replace(next, delta.Stamp.Hash, at)
	}
}

// takeEngines takes the stamp, and perhaps the list, of an answer; called with
// the lock held.
func (c *Cluster) takeEngines(list []EngineMachine, stamp engineStamp, askedAt time.Time) {
	if stamp.Age < 0 {
		return
	}
	at := askedAt.Add(-time.Duration(stamp.Age) * time.Millisecond)
	if !at.After(c.engines.confirmedAt) {
		return
	}
	switch {
	case !c.engines.confirmedAt.IsZero() && stamp.Hash == c.engines.hash:
		c.engines.confirmedAt = at
		c.engines.wanted = false
	case stamp.Hash == hashEngines(list):
		c.engines.replace(list, stamp.Hash, at)
	default:
		c.engines.wanted = true
	}
}

// shouldPoll reports whether it is this node's turn to read the machine list:
// two nodes of the zone do, and all once those are silent. Called with the lock held.
func (c *Cluster) shouldPoll(now time.Time) bool {
	if c.options.Machines == nil {
		return false
	}
	return now.Sub(c.engines.confirmedAt) > c.periods(silentPeriods) || c.isPoller()
}

func (c *Cluster) isPoller() bool { return c.chosen(pollersKey, pollersPerZone) }

// pollMachines reads the list once and spreads what changed.
func (c *Cluster) pollMachines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	askedAt := time.Now()
	list, err := c.options.Machines.List(ctx)
	c.mu.Lock()
	c.engines.failing = err != nil
	c.mu.Unlock()
	if err != nil {
		c.options.Logger.Debug().Err(err).Msg("machine list not read; the last good one stays")
		return
	}
	delta, members := c.takeMachines(list, askedAt)
	if delta == nil {
		return
	}
	for _, address := range members {
		c.calls.Go(func() { c.pushEngines(ctx, address, delta) })
	}
}

// takeMachines puts a read list in force. It returns the change, or nil.
func (c *Cluster) takeMachines(list machines.List, askedAt time.Time) (*engineDelta, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range list.Machines {
		if machine.Role == machines.RoleNode && machine.State == machines.StateLive && machine.ID != c.self.ID {
			c.addContact(machine.Zone, machine.Address)
		}
	}
	next := c.zoneEngines(list)
	hash := hashEngines(next)
	known := !c.engines.confirmedAt.IsZero()
	if !askedAt.After(c.engines.confirmedAt) {
		return nil, nil
	}
	if known && hash == c.engines.hash {
		c.engines.confirmedAt = askedAt
		return nil, nil
	}
	delta := c.engines.diff(next)
	c.engines.replace(next, hash, askedAt)
	delta.Stamp = c.engines.stamp(time.Now())
	return delta, c.liveMembers()
}

// zoneEngines picks the engines of this zone, sorted by ID.
func (c *Cluster) zoneEngines(list machines.List) []EngineMachine {
	var engines []EngineMachine
	for _, machine := range list.Machines {
		otherRegion := c.options.Region != "" && machine.Region != "" && machine.Region != c.options.Region
		if machine.Role != machines.RoleEngine || machine.Zone != c.self.Zone || otherRegion {
			continue
		}
		engines = append(engines, EngineMachine{
			ID: machine.ID, Address: machine.Address, Zone: machine.Zone, Pool: machine.Pool,
			Leaving: machine.State == machines.StateLeaving,
		})
	}
	slices.SortFunc(engines, compareEngines)
	return engines
}

// pushEngines sends a change, and the whole list to a node that had another one.
func (c *Cluster) pushEngines(ctx context.Context, address string, delta *engineDelta) {
	response, err := c.gossip(ctx, address, outgoing{content: payload{Delta: delta}})
	if err != nil || response.Engines.Hash == delta.Stamp.Hash {
		return
	}
	c.mu.Lock()
	whole := &engineDelta{Stamp: c.engines.stamp(time.Now()), Changed: c.engines.list}
	c.mu.Unlock()
	_, _ = c.gossip(ctx, address, outgoing{content: payload{Delta: whole}})
}

// Engines implements EngineList. A node knows the engines of its own zone; for
// the empty zone it returns those, for another zone none. The slice is sorted
// by ID and must not be changed.
func (c *Cluster) Engines(zone string) []EngineMachine {
	if zone != "" && zone != c.options.Self.Zone {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines.list
}
