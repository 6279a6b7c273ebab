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
	// pollTimeout limits one read of the machine list.
	pollTimeout = 5 * time.Second
	// pollFallbackPeriods is the number of protocol periods without a successful read in the zone after
	// which every node reads the list.
	pollFallbackPeriods = 16
	// pollersPerZone nodes, designated by pollersKey, read the list.
	pollersKey     = "machine-list"
	pollersPerZone = 2
)

// engineListState is the engine list of the zone as known to this node.
type engineListState struct {
	list []EngineMachine // sorted by ID; replaced, never modified
	hash uint64
	// confirmedAt is the time at which a node of the zone last read this list from the platform; zero if no
	// list is known.
	confirmedAt time.Time
	failing     bool
	// outdated is set when another node is known to have a newer list.
	outdated bool
}

// engineStamp identifies a list and its age.
type engineStamp struct {
	Hash uint64
	// Age is the time in milliseconds since the list was read; negative if there is none.
	Age int64
}

// engineDelta is the difference between two lists. A zero Base marks a complete list.
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

func (e *engineListState) stamp(now time.Time) engineStamp {
	if e.confirmedAt.IsZero() {
		return engineStamp{Age: -1}
	}
	return engineStamp{Hash: e.hash, Age: max(0, now.Sub(e.confirmedAt).Milliseconds())}
}

// pollPeriods returns the interval between reads of the machine list in protocol periods.
func (e *engineListState) pollPeriods() int {
	if e.failing {
		return pollPeriodsFailing
	}
	return pollPeriods
}

// replace stores a list that was read from the platform at the given time.
func (e *engineListState) replace(list []EngineMachine, hash uint64, at time.Time) {
	e.list, e.hash, e.confirmedAt = list, hash, at
	e.outdated = false
}

// diff returns the changes that lead to the next list.
func (e *engineListState) diff(next []EngineMachine) *engineDelta {
	delta := &engineDelta{Base: e.hash}
	for _, engine := range next {
		index, known := slices.BinarySearchFunc(e.list, engine, compareEngines)
		if !known || e.list[index] != engine {
			delta.Changed = append(delta.Changed, engine)
		}
	}
	for _, engine := range e.list {
		if _, found := slices.BinarySearchFunc(next, engine, compareEngines); !found {
			delta.Removed = append(delta.Removed, engine.ID)
		}
	}
	return delta
}

// apply returns list with the changes applied.
func (d *engineDelta) apply(list []EngineMachine) []EngineMachine {
	next := slices.DeleteFunc(slices.Clone(list), func(engine EngineMachine) bool {
		return slices.Contains(d.Removed, engine.ID) ||
			slices.ContainsFunc(d.Changed, func(changed EngineMachine) bool { return changed.ID == engine.ID })
	})
	next = append(next, d.Changed...)
	slices.SortFunc(next, compareEngines)
	return next
}

// applyEngineDelta applies a pushed delta if it is newer and its base is the current list. If the base differs, the
// sender sees this from the stamp in the response and pushes the complete list. Must be called with mu held.
func (c *Cluster) applyEngineDelta(delta *engineDelta, now time.Time) {
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

// mergeEngines merges the stamp and the optional list of a response. Must be called with mu held.
func (c *Cluster) mergeEngines(list []EngineMachine, stamp engineStamp, requestedAt time.Time) {
	if stamp.Age < 0 {
		return
	}
	at := requestedAt.Add(-time.Duration(stamp.Age) * time.Millisecond)
	if !at.After(c.engines.confirmedAt) {
		return
	}
	switch {
	case !c.engines.confirmedAt.IsZero() && stamp.Hash == c.engines.hash:
		c.engines.confirmedAt = at
		c.engines.outdated = false
	case stamp.Hash == hashEngines(list):
		c.engines.replace(list, stamp.Hash, at)
	default:
		c.engines.outdated = true
	}
}

// shouldPoll reports whether this node should read the machine list: it is designated to, or the list was not
// confirmed for pollFallbackPeriods. Must be called with mu held.
func (c *Cluster) shouldPoll(now time.Time) bool {
	if c.options.Machines == nil {
		return false
	}
	return now.Sub(c.engines.confirmedAt) > c.periods(pollFallbackPeriods) || c.isPoller()
}

func (c *Cluster) isPoller() bool { return c.isDesignated(pollersKey, pollersPerZone) }

// pollMachines reads the machine list once and pushes changes to the zone.
func (c *Cluster) pollMachines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := time.Now()
	list, err := c.options.Machines.List(ctx)
	c.mu.Lock()
	c.engines.failing = err != nil
	c.mu.Unlock()
	if err != nil {
		c.options.Logger.Debug().Err(err).Msg("reading the machine list failed; keeping the last list")
		return
	}
	delta, members := c.applyMachineList(list, requestedAt)
	if delta == nil {
		return
	}
	for _, address := range members {
		c.background.Go(func() { c.pushEngines(ctx, address, delta) })
	}
}

// applyMachineList stores a list read from the platform. It returns the delta and the addresses of the members to push
// it to, or nil if nothing changed.
func (c *Cluster) applyMachineList(list machines.List, requestedAt time.Time) (*engineDelta, []string) {
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
	if !requestedAt.After(c.engines.confirmedAt) {
		return nil, nil
	}
	if known && hash == c.engines.hash {
		c.engines.confirmedAt = requestedAt
		return nil, nil
	}
	delta := c.engines.diff(next)
	c.engines.replace(next, hash, requestedAt)
	delta.Stamp = c.engines.stamp(time.Now())
	return delta, c.liveMembers()
}

// zoneEngines returns the engines of this zone, sorted by ID.
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

// pushEngines sends a delta, then the complete list if the receiver had a different base.
func (c *Cluster) pushEngines(ctx context.Context, address string, delta *engineDelta) {
	response, err := c.gossip(ctx, address, outgoing{content: payload{Delta: delta}})
	if err != nil || response.Engines.Hash == delta.Stamp.Hash {
		return
	}
	c.mu.Lock()
	complete := &engineDelta{Stamp: c.engines.stamp(time.Now()), Changed: c.engines.list}
	c.mu.Unlock()
	_, _ = c.gossip(ctx, address, outgoing{content: payload{Delta: complete}})
}

// Engines implements EngineList. Only engines of the local zone are known; an empty zone selects it, any
// other zone yields none. The result is sorted by ID and must not be modified.
func (c *Cluster) Engines(zone string) []EngineMachine {
	if zone != "" && zone != c.options.Self.Zone {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines.list
}
