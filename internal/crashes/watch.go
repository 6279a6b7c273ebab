// Package crashes notices engines that end while they run a request.
package crashes

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// Liveness is what a look at an engine's address says of it.
type Liveness uint8

// The answers.
const (
	// Unknown: nothing was heard in time.
	Unknown Liveness = iota
	// Listening: somebody takes connections there.
	Listening
	// Ended: nobody takes connections there.
	Ended
)

var livenessNames = [...]string{Unknown: "unknown", Listening: "listening", Ended: "ended"}

// String returns the answer as it stands in logs.
func (l Liveness) String() string { return livenessNames[l] }

// Prober looks whether an engine still takes connections.
type Prober interface {
	// Probe may ask the engine something only while mayAsk permits it; a connection asks nothing.
	Probe(ctx context.Context, engine fleet.Engine, mayAsk func() bool) Liveness
}

// probeTimeout bounds one look at an engine. Whoever lost a connection waits for it
// before the request is sent anywhere else; an engine that ended refuses at once.
const probeTimeout = 100 * time.Millisecond

// Loss is a connection that an engine ended while a request was there.
type Loss struct {
	Engine fleet.Engine
	// RequestID is the ID of the request or of the item.
	RequestID   string
	Fingerprint quarantine.Fingerprint
	// Isolated: nothing else began at the engine shortly before.
	Isolated bool
}

// Options are the parts that a watch works with.
type Options struct {
	Prober Prober
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// Observe is told of each lost connection, by the engine's service and what became
	// of the engine.
	Observe func(service, liveness string)
}

// Watch finds out what became of engines whose connections were lost. It is safe for
// concurrent use.
type Watch struct {
	options Options
	// probes joins the looks at one engine: all its connections are lost at once.
	probes singleflight.Group
}

// NewWatch returns a watch.
func NewWatch(options Options) *Watch { return &Watch{options: options} }

// ConnectionLost finds out whether the engine has ended under the request, and tells.
func (w *Watch) ConnectionLost(ctx context.Context, loss Loss) bool {
	began := time.Now()
	liveness, listed := w.look(ctx, loss.Engine)
	crashed := listed && liveness == Ended
	w.options.Logger.Warn().Str("id", loss.RequestID).Stringer("fingerprint", loss.Fingerprint).
		Stringer("engine", loss.Engine.Incarnation()).Str("address", loss.Engine.Address).Stringer("liveness", liveness).
		Bool("listed", listed).Bool("crashed", crashed).Dur("took_ms", time.Since(began)).
		Msg("engine lost a request")
	w.options.Observe(loss.Engine.Service, liveness.String())
	return crashed
}

// look returns what became of an engine. Listed is false for one that was leaving: its end
// was planned, whatever it ran.
func (w *Watch) look(ctx context.Context, engine fleet.Engine) (liveness Liveness, listed bool) {
	listing := w.options.Fleet.Listing(engine)
	switch {
	case listing.Draining, !listing.Listed && !listing.Replaced:
		return Unknown, false
	case listing.Replaced:
		return Ended, true
	}
	answer, _, _ := w.probes.Do(engine.Incarnation().String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return w.options.Prober.Probe(ctx, engine, func() bool { return !w.options.Fleet.IsEvacuated(engine.Zone) }), nil
	})
	return answer.(Liveness), true
}
