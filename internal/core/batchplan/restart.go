package batchplan

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// maxRestartWait bounds how long an item with output waits for an engine that can continue it.
const maxRestartWait = 2 * time.Second

// RestartReason is why an item whose output only one weight version may continue starts over.
type RestartReason uint8

const (
	// NoRestart: the item continues its output, or has none.
	NoRestart RestartReason = iota
	// VersionGone: no engine has the version, and none can get it.
	VersionGone
	// VersionUnavailable: no engine with the version took the item for as long as its output takes to generate.
	VersionUnavailable
)

// chooseOrRestart returns the engine for an item as choose does. An item that no engine can continue, now or within the
// time that its output is worth, starts over at an engine with another version.
// It returns the item with the service of that engine.
func (p *pass) chooseOrRestart(item Item) (Item, incarnation.ID, RestartReason, WaitReason) {
	chosen, engine, wait := p.chooseAnyPart(item)
	if wait == NotWaiting {
		return chosen, engine, NoRestart, NotWaiting
	}
	restart := p.restartReason(&item)
	if restart == NoRestart {
		return item, incarnation.ID{}, NoRestart, wait
	}
	chosen, engine, wait = p.chooseAnyPart(item.withoutOutput())
	item.Service = chosen.Service
	return item, engine, restart, wait
}

// withoutOutput returns the item as it starts over.
func (item Item) withoutOutput() Item {
	item.SameVersion, item.Events = 0, 0
	return item
}

// restartReason returns why an item that cannot be continued now may start over.
func (p *pass) restartReason(item *Item) RestartReason {
	switch {
	case item.SameVersion == 0:
		return NoRestart
	case !p.versionMayReturn(item):
		return VersionGone
	case p.now.Sub(item.IdleSince) >= p.restartWait(item):
		return VersionUnavailable
	default:
		return NoRestart
	}
}

// restartWait returns how long an item waits for an engine that can continue its output: no longer than it takes to
// generate the output again, so that the wait costs at most as much as it can save.
func (p *pass) restartWait(item *Item) time.Duration {
	if p.medianPace == 0 {
		return maxRestartWait
	}
	return min(maxRestartWait, time.Duration(item.Events)*p.medianPace)
}

// versionMayReturn reports whether an engine may come to serve the item's version: it has the version but is busy or out
// of reach, or may still load it. Versions of engines only rise.
func (p *pass) versionMayReturn(item *Item) bool {
	rank := p.plan.jobs[item.Key.Job]
	for i := range p.engines {
		engine := &p.engines[i]
		if engine.Leaving || engine.Service != item.Service && !rank.serves(engine.Service) {
			continue
		}
		version := engine.Versions[item.Model]
		if version < item.SameVersion || version == item.SameVersion && engine.Loading != item.Model {
			return true
		}
	}
	return false
}
