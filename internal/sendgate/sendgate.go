// Package sendgate decides whether a request may still be sent to the engine that was chosen for it.
//
// Dialing, queueing or a suspension of the process may take time between the choice and the first
// byte, so the conditions of the choice are checked again right before the bytes are written. A
// request that is held back there has not run and may be sent to another engine.
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
	// knowledgeWait bounds how long a request waits until it is known which engines may get it. It covers a
	// read of the log and a retry; after that another node serves the caller sooner.
	knowledgeWait = 300 * time.Millisecond
	// knowledgeCheck is the interval between two checks during the wait.
	knowledgeCheck = 10 * time.Millisecond
)

// Options are the parts that a gate works with.
type Options struct {
	Fleet *fleet.Fleet
	// Known reports whether it is known which zones are evacuated and which engines are listed; nil if that
	// never lapses.
	Known func() bool
	// HeldBack, if set, is called for each request that is held back after its engine was chosen.
	HeldBack func(reason fleet.Hold)
}

// Gate is checked before requests are sent. It is safe for concurrent use.
type Gate struct{ options Options }

// New returns a gate.
func New(options Options) *Gate { return &Gate{options: options} }

// OrNew returns the gate, or one that checks the fleet only if it is nil.
func OrNew(gate *Gate, engines *fleet.Fleet) *Gate {
	if gate == nil {
		return New(Options{Fleet: engines})
	}
	return gate
}

// Known reports whether it is known which engines may get requests.
func (g *Gate) Known() bool { return g.options.Known == nil || g.options.Known() }

// AwaitKnown waits at most knowledgeWait until it is known which engines may get requests, and reports whether it is.
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

// Look returns the final check of one request for an engine. permit reports whether the permit of a request to a
// cold engine is valid; without one, nil, a request leaves only while its engine does not count as cold.
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

// Look is the final check of one request. It is safe for concurrent use.
type Look struct {
	gate   *Gate
	engine incarnation.ID
	permit func() bool
	held   atomic.Uint32
}

// MayLeave reports whether the request may be sent now. It is called right before its first byte is
// written, from any goroutine.
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

// Held returns why the request was held back; fleet.NotHeld if it was not.
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
