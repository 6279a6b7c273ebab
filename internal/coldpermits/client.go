package coldpermits

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/slowstart"
)

const (
	// requestTimeout bounds a permit request. A later response would leave no time to use the permit.
	requestTimeout = slowstart.PermitTTL - 50*time.Millisecond
	// maxConcurrentRequests bounds the concurrent permit requests of this node.
	maxConcurrentRequests = 16
	// unansweredBackoff is the backoff of a service's requests after one without a response.
	unansweredBackoff = 500 * time.Millisecond
)

// Decision is the response to a permit request.
type Decision struct {
	Outcome Outcome
	// Wait is the time after which a retry may succeed; zero if a permit was granted.
	Wait time.Duration
}

// Options configures the permit requests of a node.
type Options struct {
	// Granter grants the permits while this node leads.
	Granter *Granter
	// Cold returns the coldness of an engine, and false if it is not cold.
	Cold func(engine fleet.Engine) (fleet.Coldness, bool)
	// Leader returns the peer address of the leader; empty if unknown.
	Leader func() string
	Client *http.Client
	Logger zerolog.Logger
	// Observe is called with the outcome of each call of RequestPermit.
	Observe func(outcome Outcome)
}

// Client requests permits for this node's live requests and items. It is safe for concurrent use.
type Client struct {
	options Options
	now     func() time.Time
	// slots is a semaphore of maxConcurrentRequests.
	slots chan struct{}

	mu sync.Mutex
	// backoffUntil holds the end of the backoff by service.
	backoffUntil map[string]time.Time
}

func NewClient(options Options) *Client {
	return &Client{
		options: options, now: boottime.Now, slots: make(chan struct{}, maxConcurrentRequests),
		backoffUntil: make(map[string]time.Time),
	}
}

// RequestPermit requests a permit for one of a service's engines, which are listed in order of preference.
func (c *Client) RequestPermit(ctx context.Context, service string, engines []fleet.Engine) (Permit, Decision) {
	permit, decision := c.request(ctx, service, engines)
	c.options.Observe(decision.Outcome)
	return permit, decision
}

func (c *Client) request(ctx context.Context, service string, engines []fleet.Engine) (Permit, Decision) {
	if denial, backingOff := c.isBackingOff(service); backingOff {
		return Permit{}, denial
	}
	if c.options.Granter.Leads() {
		permit, decision := c.admitLocally(engines)
		return permit, c.backOffUnlessGranted(ctx, service, decision)
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return Permit{}, Decision{Outcome: Suppressed, Wait: unansweredBackoff}
	}
	permit, decision := c.requestFromLeader(ctx, service, engines)
	return permit, c.backOffUnlessGranted(ctx, service, decision)
}

// admitLocally requests a permit from this node itself while it leads.
func (c *Client) admitLocally(engines []fleet.Engine) (Permit, Decision) {
	denial := Decision{Outcome: RateLimited}
	for _, each := range engines {
		cold, isCold := c.options.Cold(each)
		if !isCold {
			continue
		}
		permit, wait, outcome := c.options.Granter.Admit(Requests, each.Incarnation(), cold)
		if outcome == Granted {
			return permit, Decision{Outcome: Granted}
		}
		if denial.Wait == 0 || wait < denial.Wait {
			denial = Decision{Outcome: outcome, Wait: wait}
		}
	}
	return Permit{}, denial
}

// requestFromLeader requests a permit from the leader, without retries. The permit's lifetime starts before the
// request is sent, since the permit may be granted at any time after that. A permit whose response is lost stays
// unused.
func (c *Client) requestFromLeader(ctx context.Context, service string, engines []fleet.Engine) (Permit, Decision) {
	leader := c.options.Leader()
	if leader == "" {
		return Permit{}, Decision{Outcome: Unanswered, Wait: notLeadingBackoff}
	}
	request := permitRequest{Service: service}
	for _, each := range engines[:min(len(engines), MaxEngines)] {
		request.Engines = append(request.Engines, engine{ID: each.ID, StartMillis: each.StartMillis})
	}
	began := c.now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var response permitResponse
	err := msgpackhttp.Call(ctx, c.options.Client, "http://"+leader+Path, &request, &response, maxResponseBytes)
	if err != nil {
		c.options.Logger.Info().Err(err).Str("leader", leader).Str("service", service).Int("engines", len(engines)).
			Dur("took_ms", c.now().Sub(began)).Msg("no response to the permit request for a cold engine")
		return Permit{}, Decision{Outcome: Unanswered, Wait: unansweredBackoff}
	}
	if response.Outcome != Granted {
		return Permit{}, Decision{Outcome: response.Outcome, Wait: max(response.Wait, time.Millisecond)}
	}
	return Permit{Engine: response.Engine.incarnation(), until: began.Add(slowstart.PermitTTL), now: c.now},
		Decision{Outcome: Granted}
}

// isBackingOff reports whether requests for a service are suspended, and returns the denial in that case.
func (c *Client) isBackingOff(service string) (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, found := c.backoffUntil[service]
	if !found {
		return Decision{}, false
	}
	left := until.Sub(c.now())
	if left <= 0 {
		delete(c.backoffUntil, service)
		return Decision{}, false
	}
	return Decision{Outcome: Suppressed, Wait: left}, true
}

// backOffUnlessGranted suspends requests for a service for the wait of a denial, extended by a random jitter of up
// to a half. Without jitter all nodes would retry at the same time, and the leader would always be first.
func (c *Client) backOffUnlessGranted(ctx context.Context, service string, decision Decision) Decision {
	if decision.Outcome == Granted || ctx.Err() != nil {
		return decision
	}
	decision.Wait += rand.N(decision.Wait/2 + 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[service] = c.now().Add(min(decision.Wait, notLeadingBackoff))
	return decision
}
