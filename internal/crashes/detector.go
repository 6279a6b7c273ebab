// Package crashes detects engines that crash while they run a request, and quarantines such requests cluster-wide.
package crashes

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// Liveness is the result of a probe of an engine.
type Liveness uint8

// The results of a probe.
const (
	// Unknown: there was no answer in time.
	Unknown Liveness = iota
	// Listening: the address accepts connections.
	Listening
	// Ended: the address refuses connections, or another incarnation listens there.
	Ended
)

var livenessNames = [...]string{Unknown: "unknown", Listening: "listening", Ended: "ended"}

// String returns the liveness as logged.
func (l Liveness) String() string { return livenessNames[l] }

// Prober probes whether an engine is alive.
type Prober interface {
	// Probe connects to the engine and returns the result. It may send a request only while maySend reports true.
	Probe(ctx context.Context, engine fleet.Engine, maySend func() bool) Liveness
}

// probeTimeout bounds a probe. It is short because a request that lost its connection waits for the probe before it is
// sent to another engine, and the address of an engine that has ended refuses connections immediately.
const probeTimeout = 100 * time.Millisecond

// LostConnection is a connection that the engine closed during a request.
type LostConnection struct {
	Engine fleet.Engine
	// RequestID is the ID of the live request, the batch item or its scoring call.
	RequestID string
	// Fingerprint is that of a live request; zero otherwise.
	Fingerprint quarantine.Fingerprint
}

// Options configure a detector.
type Options struct {
	Prober Prober
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// OnConnectionLost is called for each lost connection with the engine's service and its liveness.
	OnConnectionLost func(service, liveness string)
}

// Detector probes engines whose connections were lost. It is safe for concurrent use.
type Detector struct {
	options Options
	// probes deduplicates concurrent probes of an engine, since a crash closes all its connections.
	probes singleflight.Group
}

func NewDetector(options Options) *Detector { return &Detector{options: options} }

// ConnectionLost probes the engine and reports whether it crashed during the request.
func (d *Detector) ConnectionLost(ctx context.Context, loss LostConnection) bool {
	began := time.Now()
	liveness, listed := d.probe(ctx, loss.Engine)
	crashed := listed && liveness == Ended
	d.options.Logger.Warn().Str("id", loss.RequestID).Stringer("fingerprint", loss.Fingerprint).
		Stringer("engine", loss.Engine.Incarnation()).Str("address", loss.Engine.Address).Stringer("liveness", liveness).
		Bool("listed", listed).Bool("crashed", crashed).Dur("took_ms", time.Since(began)).
		Msg("connection to engine lost during a request")
	d.options.OnConnectionLost(loss.Engine.Service, liveness.String())
	return crashed
}

// probe returns the liveness of an engine. listed is false if the engine was draining or is no longer listed: its end
// was planned.
func (d *Detector) probe(ctx context.Context, engine fleet.Engine) (liveness Liveness, listed bool) {
	status := d.options.Fleet.ListStatus(engine)
	switch {
	case status.Draining, !status.Listed && !status.Replaced:
		return Unknown, false
	case status.Replaced:
		return Ended, true
	}
	answer, _, _ := d.probes.Do(engine.Incarnation().String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return d.options.Prober.Probe(ctx, engine, func() bool { return !d.options.Fleet.IsEvacuated(engine.Zone) }), nil
	})
	return answer.(Liveness), true
}
