// Package coldpermits admits requests to engines that count as cold. The node that leads decides for
// all senders: for its own requests and items at once, for those of other nodes by a message. See
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

// Sender is who wants to send.
type Sender uint8

// The senders.
const (
	// Items are those of batch jobs, which the leader runs.
	Items Sender = iota
	// Requests are live ones of this node.
	Requests
	// Peers are other nodes.
	Peers
)

var senderNames = [...]string{Items: "items", Requests: "requests", Peers: "peers"}

// String returns the sender as it stands in metrics.
func (s Sender) String() string { return senderNames[s] }

// Permit allows one request to one engine for a short time.
type Permit struct {
	Engine incarnation.ID
	// until is a time of the clock that goes on while the machine is suspended.
	until time.Time
	// valid tells whether the node that gave the permit still leads, as far as it knows; nil where
	// another node gave it. The next leader waits for those.
	valid func() bool
	now   func() time.Time
}

// Open tells whether the request may leave now. It is asked right before the bytes do.
func (p Permit) Open() bool {
	return p.now().Before(p.until) && (p.valid == nil || p.valid())
}

// Decider admits requests while its node leads. It is safe for concurrent use.
type Decider struct {
	now func() time.Time
	// observe is told of each decision.
	observe func(sender Sender, outcome Outcome)

	mu sync.Mutex
	// current is nil while the node does not lead.
	current *leading
}

// leading is one time of leading.
type leading struct {
	pacer *slowstart.Pacer
	valid func() bool
}

// NewDecider returns a decider of a node that does not lead yet.
func NewDecider(observe func(sender Sender, outcome Outcome)) *Decider {
	return &Decider{now: boottime.Now, observe: observe}
}

// Lead begins a time of leading, for as long as valid says, and returns what ends it.
func (d *Decider) Lead(valid func() bool) (end func()) {
	began := &leading{pacer: slowstart.New(d.now()), valid: valid}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = began
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.current == began {
			d.current = nil
		}
	}
}

// leads returns the time of leading, if it is one.
func (d *Decider) leads() (*leading, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil || !d.current.valid() {
		return nil, false
	}
	return d.current, true
}

// Leads tells whether this node decides.
func (d *Decider) Leads() bool {
	_, leads := d.leads()
	return leads
}

// Admit admits one request to a cold engine. Where it does not, wait is the time after which another
// try may succeed.
func (d *Decider) Admit(sender Sender, to incarnation.ID, cold fleet.Coldness) (permit Permit, wait time.Duration, outcome Outcome) {
	defer func() { d.observe(sender, outcome) }()
	leading, leads := d.leads()
	if !leads {
		return Permit{}, notLeadingWait, NotLeading
	}
	now := d.now()
	if wait := leading.pacer.Admit(to, cold.RatePerSecond, now); wait > 0 {
		return Permit{}, wait, Paced
	}
	return Permit{Engine: to, until: now.Add(slowstart.PermitLife), valid: leading.valid, now: d.now}, 0, Granted
}

// Room returns how many requests to a cold engine would be admitted at once.
func (d *Decider) Room(to incarnation.ID, cold fleet.Coldness) int {
	leading, leads := d.leads()
	if !leads {
		return 0
	}
	return leading.pacer.Room(to, cold.RatePerSecond, d.now())
}

// Want does nothing: who decides asks nobody.
func (d *Decider) Want(incarnation.ID) {}

// Note counts a request to an engine that is not known to be cold; see slowstart.Pacer.
func (d *Decider) Note(to incarnation.ID, ratePerSecond float64) {
	if leading, leads := d.leads(); leads {
		leading.pacer.Note(to, ratePerSecond, d.now())
	}
}

// Forget drops what no longer counts.
func (d *Decider) Forget() {
	if leading, leads := d.leads(); leads {
		leading.pacer.Forget(d.now())
	}
}
