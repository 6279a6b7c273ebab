package coldpermits

import (
	"context"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// Outcome is the outcome of a permit request. Its values are sent between processes: append new ones at the end
// and never renumber them.
type Outcome uint8

// Outcomes of a permit request.
const (
	// Granted: the permit was granted.
	Granted Outcome = iota
	// RateLimited: the engines have reached their rate limit.
	RateLimited
	// NotLeading: the receiving node does not lead.
	NotLeading
	// UnknownService: the receiving node's configuration has no slow start for the service.
	UnknownService
	// Unanswered: no leader is known, or it did not respond in time.
	Unanswered
	// Suppressed: the request was not sent, because of the backoff after a denial or too many concurrent requests.
	Suppressed
)

var outcomeNames = [...]string{
	Granted: "granted", RateLimited: "paced", NotLeading: "not_leading", UnknownService: "unknown_service",
	Unanswered: "unanswered", Suppressed: "withheld",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "other"
}

const (
	// Path is the URL path for permit requests of other nodes.
	Path = "/cold-permits"
	// MaxEngines bounds the engines of a request.
	MaxEngines = 16
	// maxRequestBytes bounds a request with MaxEngines IDs, maxResponseBytes a response with one ID.
	maxRequestBytes  = 16 << 10
	maxResponseBytes = 1 << 10
	// notLeadingBackoff is the shortest time in which another node can take over.
	notLeadingBackoff = time.Second
)

// permitRequest requests a permit for one of the engines, which are listed in order of preference.
type permitRequest struct {
	Service string   `msgpack:"s"`
	Engines []engine `msgpack:"e"`
}

// engine is an incarnation of an engine.
type engine struct {
	ID          string `msgpack:"i"`
	StartMillis int64  `msgpack:"b,omitempty"`
}

func (e engine) incarnation() incarnation.ID {
	return incarnation.ID{Engine: e.ID, StartMillis: e.StartMillis}
}

// permitResponse contains the engine of a granted permit, or the wait before a retry.
type permitResponse struct {
	Outcome Outcome       `msgpack:"o"`
	Engine  engine        `msgpack:"e"`
	Wait    time.Duration `msgpack:"w,omitempty"`
}

// Handler serves permit requests of other nodes. The rates are those of this node's configuration.
func (g *Granter) Handler(slowStart func(service string) (routes.SlowStart, bool)) http.Handler {
	return msgpackhttp.Handle(maxRequestBytes, func(_ context.Context, request permitRequest) permitResponse {
		limits, hasSlowStart := slowStart(request.Service)
		if !hasSlowStart {
			g.observe(Peers, UnknownService)
			return permitResponse{Outcome: UnknownService, Wait: notLeadingBackoff}
		}
		denied := permitResponse{Outcome: UnknownService, Wait: notLeadingBackoff}
		for _, each := range request.Engines[:min(len(request.Engines), MaxEngines)] {
			_, wait, outcome := g.Admit(Peers, each.incarnation(), fleet.Coldness{RatePerSecond: limits.RatePerSecond})
			if outcome == Granted {
				return permitResponse{Outcome: Granted, Engine: each}
			}
			if denied.Outcome == UnknownService || wait < denied.Wait {
				denied = permitResponse{Outcome: outcome, Wait: wait}
			}
		}
		return denied
	})
}
