// Package sendgate decides whether a request may still leave for the engine that was chosen for it.
//
// Between the choice and the first byte lie a dial, queues and maybe a process that stood still, so
// the filter of the choice is asked once more right before the bytes leave. A request that is held
// back there has not run and may go to another engine.
package sendgate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// knowledgeWait bounds how long a request waits until it is known which engines may get it: one
	// read of the log, and one more after a failure. Its caller is better served by another node then.
	knowledgeWait = 300 * time.Millisecond
	// knowledgeCheck is the time between two looks meanwhile.
	knowledgeCheck = 10 * time.Millisecond
)

// Options are the parts that a gate works with.
type Options struct {
	Fleet *fleet.Fleet
	// Known reports whether it is known which zones are evacuated and which engines are listed, and how; nil where
	// that never lapses.
	Known func() bool
	// HeldBack is told of each request that was held back after its engine was chosen; nil for nobody.
	HeldBack func(reason fleet.Hold)
}

// Gate is asked before requests leave. It is safe for concurrent use.
type Gate struct{ options Options }

// New returns a gate.
func New(options Options) *Gate { return &Gate{options: options} }

// OrNew returns the gate, or one that asks the fleet alone where it is nil.
func OrNew(gate *Gate, engines *fleet.Fleet) *Gate {
	if gate == nil {
		return New(Options{Fleet: engines})
	}
	return gate
}

// Known reports whether it is known which engines may get requests.
func (g *Gate) Known() bool { return g.options.Known == nil || g.options.Known() }

// AwaitKnown waits for a short time until it is known which engines may get requests, and reports whether it is.
func (g *Gate) AwaitKnown(ctx context.Context) bool {
	if g.Known() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, knowledgeWait)
	defer cancel()
	for retry.Sleep(ctx, knowledgeCheck) {
		if g.Known() {
			return true
		}
	}
	return false
}

// Look returns the last look at one request for an engine. One that was chosen for a cold engine has a permit;
// without one, nil, a request leaves only while its engine does not count as cold.
func (g *Gate) Look(engine incarnation.ID, permit func() bool) *Look {
	if permit == nil {
		permit = func() bool { return !g.isCold(engine) }
	}
	return &Look{gate: g, engine: engine, permit: permit}
}

// LookAtOrder is Look for an order of weights, which does not count in an engine's rate.
func (g *Gate) LookAtOrder(engine incarnation.ID) *Look {
	return &Look{gate: g, engine: engine, permit: func() bool { return true }}
}

func (g *Gate) isCold(engine incarnation.ID) bool {
	_, cold := g.options.Fleet.Cold(engine, time.Now())
	return cold
}

// Look is the last look at one request. It is safe for concurrent use.
type Look struct {
	gate   *Gate
	engine incarnation.ID
	permit func() bool
	held   atomic.Uint32
}

// MayLeave tells whether the request may leave now. It is asked right before its first byte would,
// in any goroutine.
func (l *Look) MayLeave() bool {
	reason := l.reason()
	if reason == fleet.NotHeld {
		return true
	}
	if l.held.CompareAndSwap(uint32(fleet.NotHeld), uint32(reason)) && l.gate.options.HeldBack != nil {
		l.gate.options.HeldBack(reason)
	}
	return false
}

// Held is why the request was held back; fleet.NotHeld if it was not.
func (l *Look) Held() fleet.Hold { return fleet.Hold(l.held.Load()) }

func (l *Look) reason() fleet.Hold {
	if !l.gate.Known() {
		return fleet.HeldUnknown
	}
	if held := l.gate.options.Fleet.Hold(l.engine); held != fleet.NotHeld {
		return held
	}
	if !l.permit() {
		return fleet.HeldPaced
	}
	return fleet.NotHeld
}
