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

// Outcome is how a question for a permit ended. Values are sent between processes: append new ones
// at the end and never renumber.
type Outcome uint8

// The outcomes.
const (
	// Granted: the request may be sent.
	Granted Outcome = iota
	// Paced: the engines have had what they take for now.
	Paced
	// NotLeading: the node that was asked does not decide.
	NotLeading
	// Unknown: the node that was asked knows no slow start of the service.
	Unknown
	// Unanswered: no node that decides is known, or it did not answer in time.
	Unanswered
	// Withheld: the question was not sent, since the one before was refused just now, or too many
	// are under way.
	Withheld
)

var outcomeNames = [...]string{
	Granted: "granted", Paced: "paced", NotLeading: "not_leading", Unknown: "unknown_service",
	Unanswered: "unanswered", Withheld: "withheld",
}

// String returns the outcome as it stands in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "other"
}

const (
	// Path is where other nodes ask for permits.
	Path = "/cold-permits"
	// MaxEngines is how many engines a question names: any of them will do.
	MaxEngines = 16
	// maxQuestionBytes bounds a question of MaxEngines IDs, maxAnswerBytes the answer with one.
	maxQuestionBytes = 16 << 10
	maxAnswerBytes   = 1 << 10
	// notLeadingWait is the least time in which another node takes over and learns the engines.
	notLeadingWait = time.Second
)

// question asks for a permit for one of the engines, in their order.
type question struct {
	Service string   `msgpack:"s"`
	Engines []engine `msgpack:"e"`
}

// engine is an incarnation of an engine.
type engine struct {
	ID   string `msgpack:"i"`
	Born int64  `msgpack:"b,omitempty"`
}

func (e engine) incarnation() incarnation.ID { return incarnation.ID{Engine: e.ID, Born: e.Born} }

// answer is the engine that was granted, or when to come back.
type answer struct {
	Outcome Outcome       `msgpack:"o"`
	Engine  engine        `msgpack:"e"`
	Wait    time.Duration `msgpack:"w,omitempty"`
}

// Handler answers other nodes. The rate is that of this node's own configuration.
func (d *Decider) Handler(slowStart func(service string) (routes.SlowStart, bool)) http.Handler {
	return msgpackhttp.Handle(maxQuestionBytes, func(_ context.Context, asked question) answer {
		limits, bounded := slowStart(asked.Service)
		if !bounded {
			d.observe(Peers, Unknown)
			return answer{Outcome: Unknown, Wait: notLeadingWait}
		}
		refused := answer{Outcome: Unknown, Wait: notLeadingWait}
		for _, each := range asked.Engines[:min(len(asked.Engines), MaxEngines)] {
			_, wait, outcome := d.Admit(Peers, each.incarnation(), fleet.Coldness{RatePerSecond: limits.RatePerSecond})
			if outcome == Granted {
				return answer{Outcome: Granted, Engine: each}
			}
			if refused.Outcome == Unknown || wait < refused.Wait {
				refused = answer{Outcome: outcome, Wait: wait}
			}
		}
		return refused
	})
}
