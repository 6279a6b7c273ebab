package batchplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// minMoveGain is the least expected gain of a move to a fast engine. It covers the prefill of prompt and
	// generated text (310 to 400 tokens per millisecond, so up to 0.1 s for a full engine), the new connection, and
	// the risk of a wrong estimate.
	minMoveGain = 500 * time.Millisecond
	// MinMoveAge is the least age of a run whose item is moved.
	MinMoveAge = 250 * time.Millisecond
	// outrunShare is the least share of an item's events so far that it is expected to need still.
	outrunShare = 0.5
)

// MoveCandidate is a running item that may be moved.
type MoveCandidate struct {
	Key        Key
	Model      string
	MinVersion int64
	// SameVersion is the only version that may continue the item; zero for any.
	SameVersion int64
	// Started is the start of its run.
	Started time.Time
}

// Move is a running item that is to continue at a fast engine.
type Move struct {
	Key  Key
	From incarnation.ID
	To   incarnation.ID
	// Gain is the time by which the item is expected to end earlier, without the cost of the move.
	Gain time.Duration
}

// movable is a candidate for which a move pays.
type movable struct {
	MoveCandidate
	placement  placement
	left, gain time.Duration
}

// MovesToFast returns the moves of running items from other engines to fast ones with a free slot, sufficient memory
// and weights that may continue the item. Items with the most time left come first; a move has to gain more than
// minMoveGain. Without classes there are none. The plan isn't modified.
func (p *Plan) MovesToFast(now time.Time, candidates []MoveCandidate, engines []Engine) []Move {
	items := p.movable(now, candidates)
	if len(items) == 0 {
		return nil
	}
	pass := newPass(p, engines, now)
	vacancies := pass.vacancies(func(engine *Engine) bool { return p.speeds.classes[engine.Service].IsFast(engine.ID) })
	var moves []Move
	for _, item := range items {
		to, found := vacancies.take(item.MoveCandidate, item.placement, p.needOf(item.Key))
		if found {
			moves = append(moves, Move{Key: item.Key, From: item.placement.engine, To: to, Gain: item.gain})
		}
	}
	return moves
}

// Vacancies returns the places that moved items can take at engines that are about as fast as the best one.
func (p *Plan) Vacancies(now time.Time, engines []Engine) *Vacancies {
	best := p.BestPace()
	return newPass(p, engines, now).vacancies(func(engine *Engine) bool {
		pace, known := p.paces[engine.ID]
		return known && IsFast(pace, best)
	})
}

// movable returns the candidates that gain enough from a move to a fast engine, the most time left first.
func (p *Plan) movable(now time.Time, candidates []MoveCandidate) []movable {
	var items []movable
	for _, candidate := range candidates {
		placed, running := p.running[candidate.Key]
		classes := p.speeds.classes[placed.service]
		if !running || classes == nil || classes.IsFast(placed.engine) || now.Sub(candidate.Started) < MinMoveAge {
			continue
		}
		pace := p.paces[placed.engine]
		events := p.eventsLeft(placed)
		gain := time.Duration(events * float64(pace-classes.FastPace))
		if gain <= minMoveGain {
			continue
		}
		items = append(items, movable{candidate, placed, time.Duration(events * float64(pace)), gain})
	}
	slices.SortFunc(items, func(a, b movable) int {
		return cmp.Or(
			cmp.Compare(b.left, a.left), cmp.Compare(a.Key.Job, b.Key.Job), cmp.Compare(a.Key.Item, b.Key.Item),
		)
	})
	return items
}

// eventsLeft returns how many more events a running item is expected to have.
func (p *Plan) eventsLeft(placed placement) float64 {
	done := float64(placed.events)
	return max(p.expectedEvents(placed.length)-done, outrunShare*done)
}

// Vacancies are engines with free slots and memory for moved items, in the order of a pass.
type Vacancies struct {
	pass   *pass
	places []place
}

// place is an engine with free slots.
type place struct {
	engine        *Engine
	slots, tokens int
}

// Empty reports whether no engine has a free slot.
func (v *Vacancies) Empty() bool { return len(v.places) == 0 }

// Take takes a place at an engine other than the item's own that can continue the running item, and reports whether
// there is one.
func (v *Vacancies) Take(candidate MoveCandidate) bool {
	placed, running := v.pass.plan.running[candidate.Key]
	if !running {
		return false
	}
	need := placed.reservedTokens
	if v.pass.speeds[placed.service] != nil {
		need = v.pass.plan.needOf(candidate.Key)
	}
	_, found := v.take(candidate, placed, need)
	return found
}

func (v *Vacancies) take(candidate MoveCandidate, placed placement, need int) (incarnation.ID, bool) {
	key := class{service: placed.service, model: candidate.Model, minVersion: candidate.MinVersion}
	index := slices.IndexFunc(v.places, func(place place) bool {
		return need <= place.tokens && place.engine.ID != placed.engine && v.pass.eligible(place.engine, key) &&
			(candidate.SameVersion == 0 || place.engine.Versions[candidate.Model] == candidate.SameVersion)
	})
	if index < 0 {
		return incarnation.ID{}, false
	}
	chosen := &v.places[index]
	engine := chosen.engine.ID
	chosen.slots--
	chosen.tokens = min(chosen.tokens, chosen.engine.tokensOrUnbounded()) - need
	if chosen.slots <= 0 {
		v.places = slices.Delete(v.places, index, index+1)
	}
	return engine, true
}

// vacancies returns the engines with free slots that satisfy the condition. Slots and memory that are needed by items on
// their way to an engine aren't free.
func (p *pass) vacancies(satisfies func(engine *Engine) bool) *Vacancies {
	var places []place
	for i := range p.engines {
		engine := &p.engines[i]
		if !engine.Usable || !satisfies(engine) || !p.hasSlot(engine) || p.isReserved(engine) {
			continue
		}
		slots, tokens := min(engine.Slots-p.plan.runningCount[engine.ID], p.startsLeft[i]), p.freeTokens(engine)
		if arriving, found := p.arriving[engine.ID]; found {
			slots -= arriving.running + arriving.waiting
			tokens = min(tokens, engine.tokensOrUnbounded()) - arriving.tokens
		}
		if slots > 0 {
			places = append(places, place{engine: engine, slots: slots, tokens: tokens})
		}
	}
	return &Vacancies{pass: p, places: places}
}

// arrivals are the items on their way to an engine that a move chose for them.
type arrivals struct {
	// running is the number of items that still run elsewhere, waiting that of the others.
	running, waiting int
	// tokens is the memory that all of them are projected to need.
	tokens int
}

// arrivalsByEngine returns the items on their way to each engine; nil for none.
func (p *Plan) arrivalsByEngine() map[incarnation.ID]arrivals {
	if len(p.preferred) == 0 {
		return nil
	}
	byEngine := make(map[incarnation.ID]arrivals)
	for key, engine := range p.preferred {
		arriving := byEngine[engine]
		switch {
		case p.isRunning(key):
			arriving.running++
		case p.isWaiting(key):
			arriving.waiting++
		default:
			continue
		}
		arriving.tokens += p.needOf(key)
		byEngine[engine] = arriving
	}
	return byEngine
}

// needOf returns the memory, in tokens, that a waiting or running item is projected to need.
func (p *Plan) needOf(key Key) int {
	if placed, found := p.running[key]; found {
		return int(math.Ceil(p.projectedNeed(placed.prompt, placed.reservedTokens, placed.events)))
	}
	item := p.waiting[key]
	return int(math.Ceil(p.projectedNeed(item.Prompt, item.Tokens, item.Events)))
}

// tokensOrUnbounded returns the engine's memory; unbounded when unknown.
func (e *Engine) tokensOrUnbounded() int {
	if e.Tokens <= 0 {
		return unbounded
	}
	return e.Tokens
}
