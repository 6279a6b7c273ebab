package machines

import (
	"cmp"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

// entry is a machine and the time of its last heartbeat.
type entry struct {
	machine  machines.Machine
	lastSeen time.Time
}

// snapshot is the list as of a point in time.
type snapshot struct {
	at   time.Time
	list machines.List
}

// history holds the current machine list and past snapshots, so that it can be read with a lag. The caller supplies
// the time, which must not decrease.
type history struct {
	lag, expiry time.Duration
	entries     map[string]entry
	// snapshots are in ascending order of time. The first is the newest that is at least lag old, or the initial
	// empty list.
	snapshots []snapshot
}

func newHistory(lag, expiry time.Duration) *history {
	return &history{
		lag:       lag,
		expiry:    expiry,
		entries:   make(map[string]entry),
		snapshots: []snapshot{{list: machines.List{Machines: []machines.Machine{}}}},
	}
}

func (h *history) put(machine machines.Machine, now time.Time) {
	h.expire(now)
	before, existed := h.entries[machine.ID]
	h.entries[machine.ID] = entry{machine: machine, lastSeen: now}
	if !existed || before.machine != machine {
		h.record(now)
	}
}

func (h *history) remove(id string, now time.Time) {
	h.expire(now)
	if _, existed := h.entries[id]; !existed {
		return
	}
	delete(h.entries, id)
	h.record(now)
}

// expire removes the entries without a recent heartbeat.
func (h *history) expire(now time.Time) {
	before := len(h.entries)
	for id, current := range h.entries {
		if now.Sub(current.lastSeen) > h.expiry {
			delete(h.entries, id)
		}
	}
	if len(h.entries) != before {
		h.record(now)
	}
}

func (h *history) record(now time.Time) {
	list := machines.List{Machines: make([]machines.Machine, 0, len(h.entries))}
	for _, current := range h.entries {
		list.Machines = append(list.Machines, current.machine)
	}
	slices.SortFunc(list.Machines, func(a, b machines.Machine) int { return cmp.Compare(a.ID, b.ID) })
	h.snapshots = append(h.snapshots, snapshot{at: now, list: list})
	h.prune(now)
}

// prune removes the snapshots that are no longer needed.
func (h *history) prune(now time.Time) {
	for len(h.snapshots) > 1 && !h.snapshots[1].at.After(now.Add(-h.lag)) {
		h.snapshots = h.snapshots[1:]
	}
}

// list returns the list as of lag ago. The caller must not modify it.
func (h *history) list(now time.Time) machines.List {
	h.expire(now)
	h.prune(now)
	return h.snapshots[0].list
}
