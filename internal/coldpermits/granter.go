// Package coldpermits limits the request rate to cold engines, which are in slow start. The leader grants permits
// to all senders: by a function call for its own requests and items, by a message for those of other nodes. See
// docs/design/slow-start.md.
package coldpermits

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/slowstart"
)

// Sender is the kind of sender of a request.
type Sender uint8

// Kinds of senders.
const (
	// Items are items of batch jobs that the leader runs.
	Items Sender = iota
	// Requests are live requests of this node.
	Requests
	// Peers are requests and items of other nodes.
	Peers
)

var senderNames = [...]string{Items: "items", Requests: "requests", Peers: "peers"}

// String returns the sender's name in metrics.
func (s Sender) String() string { return senderNames[s] }

// Permit allows one request to one engine within slowstart.PermitTTL.
type Permit struct {
	Engine incarnation.ID
	// until is the expiry by boottime, which advances while the machine is suspended.
	until time.Time
	// stillLeads reports whether this node, which granted the permit, still leads as far as it knows. It is nil for
	// permits from another node; the next leader waits until these have expired.
	stillLeads func() bool
	now        func() time.Time
}

// Valid reports whether the request may be sent. It must be checked right before the bytes are written.
func (p Permit) Valid() bool {
	return p.now().Before(p.until) && (p.stillLeads == nil || p.stillLeads())
}

// Granter grants permits while its node leads. It is safe for concurrent use.
type Granter struct {
	now func() time.Time
	// observe is called after each decision.
	observe func(sender Sender, outcome Outcome)

	mu sync.Mutex
	// current is the leadership term; nil while the node does not lead.
	current *term
}

// term is a leadership term.
type term struct {
	pacer      *slowstart.Pacer
	stillLeads func() bool
}

// NewGranter returns a granter without a leadership term. observe is called after each decision.
func NewGranter(observe func(sender Sender, outcome Outcome)) *Granter {
	return &Granter{now: boottime.Now, observe: observe}
}

// Lead begins a term, which lasts as long as stillLeads returns true, and returns a function that ends it.
func (g *Granter) Lead(stillLeads func() bool) (end func()) {
	started := &term{pacer: slowstart.New(g.now()), stillLeads: stillLeads}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current = started
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.current == started {
			g.current = nil
		}
	}
}

// currentTerm returns the current term, and false if this node does not lead.
func (g *Granter) currentTerm() (*term, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || !g.current.stillLeads() {
		return nil, false
	}
	return g.current, true
}

// Leads reports whether this node leads and thus grants permits.
func (g *Granter) Leads() bool {
	_, leads := g.currentTerm()
	return leads
}

// Admit grants a permit for one request to a cold engine. If it does not, wait is the time after which a retry may
// succeed.
func (g *Granter) Admit(sender Sender, to incarnation.ID, cold fleet.Coldness) (permit Permit, wait time.Duration, outcome Outcome) {
	defer func() { g.observe(sender, outcome) }()
	current, leads := g.currentTerm()
	if !leads {
		return Permit{}, notLeadingBackoff, NotLeading
	}
	now := g.now()
	if wait := current.pacer.Admit(to, cold.RatePerSecond, now); wait > 0 {
		return Permit{}, wait, RateLimited
	}
	return Permit{
		Engine: to, until: now.Add(slowstart.PermitTTL), stillLeads: current.stillLeads, now: g.now,
	}, 0, Granted
}

// Available returns the number of requests to a cold engine that would be admitted now.
func (g *Granter) Available(to incarnation.ID, cold fleet.Coldness) int {
	current, leads := g.currentTerm()
	if !leads {
		return 0
	}
	return current.pacer.Available(to, cold.RatePerSecond, g.now())
}

// Prefetch does nothing, since the leader grants its own permits at once.
func (g *Granter) Prefetch(incarnation.ID) {}

// RecordUnpaced counts a request to an engine that is not known to be cold; see slowstart.Pacer.
func (g *Granter) RecordUnpaced(to incarnation.ID, ratePerSecond float64) {
	if current, leads := g.currentTerm(); leads {
		current.pacer.RecordUnpaced(to, ratePerSecond, g.now())
	}
}

// DropExpired drops the expired state of the current term.
func (g *Granter) DropExpired() {
	if current, leads := g.currentTerm(); leads {
		current.pacer.DropExpired(g.now())
	}
}
