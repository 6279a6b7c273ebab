package crashes

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// Exempt takes the place of a Guard for work that was accepted for later, such as items of batch jobs and their
// scoring calls. An accepted item must be completed whatever engines crash while they run it, so such work is never
// quarantined, and its crashes are logged but not recorded.
type Exempt struct{ detector *Detector }

// NewExempt returns an Exempt.
func NewExempt(detector *Detector) Exempt { return Exempt{detector: detector} }

// Admit returns nil.
func (Exempt) Admit(context.Context, func() quarantine.Fingerprint) *errkind.Error { return nil }

// ConnectionLost reports and logs whether the engine crashed.
func (e Exempt) ConnectionLost(ctx context.Context, loss LostConnection) bool {
	loss.Fingerprint = quarantine.Fingerprint{}
	return e.detector.ConnectionLost(ctx, loss)
}

// Status returns the state without crashes.
func (Exempt) Status(func() quarantine.Fingerprint) quarantine.Status { return quarantine.Status{} }

// Answered has no effect: what the work went through says nothing about a live request of the same content.
func (Exempt) Answered(func() quarantine.Fingerprint) {}
