// Package sendgate performs the final check before a request is sent to the engine chosen for it.
//
// Time may pass between the choice and the first byte, for example while dialing, queueing, or during a suspension
// of the process. The conditions of the choice are therefore checked again right before the bytes are written. A
// request that is held back here has not been executed and may be sent to another engine.
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
	// maxKnownWait bounds how long a request waits until it is known which engines may get requests. It covers one
	// read of the log and one retry; after that, a retry at another node is likely to be faster.
	maxKnownWait = 300 * time.Millisecond
	// knownPollInterval is the interval between two checks during that wait.
	knownPollInterval = 10 * time.Millisecond
)

// Options are the dependencies of a gate.
type Options struct {
	Fleet *fleet.Fleet
	// EnginesKnown reports whether the evacuated zones and the listed engines are known; nil if they always are.
	EnginesKnown func() bool
	// OnHeldBack, if set, is called once for each request that is held back.
	OnHeldBack func(reason fleet.Hold)
}

// Gate creates the final checks of requests. It is safe for concurrent use.
type Gate struct{ options Options }

// New returns a gate with the options.
func New(options Options) *Gate { return &Gate{options: options} }

// OrNew returns gate, or a new one that checks only the fleet if gate is nil.
func OrNew(gate *Gate, engines *fleet.Fleet) *Gate {
	if gate == nil {
		return New(Options{Fleet: engines})
	}
	return gate
}

// EnginesKnown reports whether it is known which engines may get requests.
func (g *Gate) EnginesKnown() bool { return g.options.EnginesKnown == nil || g.options.EnginesKnown() }

// AwaitEnginesKnown waits for at most maxKnownWait until EnginesKnown is true, and reports whether it became true.
func (g *Gate) AwaitEnginesKnown(ctx context.Context) bool {
	if g.EnginesKnown() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, maxKnownWait)
	defer cancel()
	for retry.Sleep(ctx, knownPollInterval) {
		if g.EnginesKnown() {
			return true
		}
	}
	return false
}

// Check returns the final check of a request to an engine. permitValid reports whether the request's permit for a cold
// engine is valid. If it is nil, the request may be sent only while the engine is not cold.
func (g *Gate) Check(engine incarnation.ID, permitValid func() bool) *Check {
	if permitValid == nil {
		permitValid = func() bool { return !g.isCold(engine) }
	}
	return &Check{gate: g, engine: engine, permitValid: permitValid}
}

// CheckWeightLoad returns the final check of an order to load weights. It does not count towards an engine's request
// rate and needs no permit for a cold engine.
func (g *Gate) CheckWeightLoad(engine incarnation.ID) *Check {
	return &Check{gate: g, engine: engine, permitValid: func() bool { return true }}
}

func (g *Gate) isCold(engine incarnation.ID) bool {
	_, cold := g.options.Fleet.Cold(engine, time.Now())
	return cold
}

// Check is the final check of one request. It is safe for concurrent use.
type Check struct {
	gate        *Gate
	engine      incarnation.ID
	permitValid func() bool
	held        atomic.Uint32
}

// MaySend reports whether the request may be sent now. It must be called right before the first byte is written.
func (c *Check) MaySend() bool {
	reason := c.reason()
	if reason == fleet.NotHeld {
		return true
	}
	if c.held.CompareAndSwap(uint32(fleet.NotHeld), uint32(reason)) && c.gate.options.OnHeldBack != nil {
		c.gate.options.OnHeldBack(reason)
	}
	return false
}

// Held returns why the request was held back, or fleet.NotHeld.
func (c *Check) Held() fleet.Hold { return fleet.Hold(c.held.Load()) }

func (c *Check) reason() fleet.Hold {
	if !c.gate.EnginesKnown() {
		return fleet.HeldUnknown
	}
	if held := c.gate.options.Fleet.Hold(c.engine); held != fleet.NotHeld {
		return held
	}
	if !c.permitValid() {
		return fleet.HeldWithoutPermit
	}
	return fleet.NotHeld
}
