// Package coordinator runs trainers' steps. For each trainer, one node owns the
// ledger stream under a fenced epoch: it runs the open slots through the
// router, has the answers scored, records them, and delivers them to the
// trainer. Other nodes forward calls to the owner.
//
// The cluster view only suggests which node claims a ledger. The stream alone
// determines which records are accepted: a node that wrongly believes that it
// owns a ledger can neither accept a step nor deliver or acknowledge a sample,
// because each of these waits until the node's own record is read back.
package coordinator

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
	"github.com/corkpulley/corkpulley/internal/router"
)

// Options configures a Coordinator; all fields are required.
type Options struct {
	NodeID      string
	PeerAddress string
	Zone        string
	Manager     *logstream.Manager
	View        cluster.View
	Announcer   cluster.Announcer
	Caller      peer.Caller
	Registry    peer.Registry
	Router      router.Router
	Tables      policy.Source
	Scorer      scorer.Scorer
	Logger      zerolog.Logger
	Registerer  prometheus.Registerer
}

// Coordinator claims and serves trainers' ledgers. It also forwards calls of this
// node's trainer API to the owner of any ledger.
type Coordinator struct {
	options Options
	metrics *metrics
	// draining is set when no more ledgers may be claimed and no more calls accepted.
	draining     atomic.Bool
	drainStarted chan struct{}

	// announceMutex serializes announcements of owned ledgers.
	announceMutex sync.Mutex

	mutex sync.Mutex
	// followers holds the ledgers that this node follows, by trainer.
	followers map[string]*follower
}

// New returns a coordinator and registers its peer handlers; Run starts it.
func New(options Options) *Coordinator {
	c := &Coordinator{
		options:      options,
		metrics:      newMetrics(options.Registerer),
		drainStarted: make(chan struct{}),
		followers:    make(map[string]*follower),
	}
	options.Registry.HandleCall(peer.MethodTrainer, c.handleTrainer)
	options.Registry.HandleCall(peer.MethodStepStatus, c.handleStepStatus)
	return c
}

// Statuses returns the unfinished and recently abandoned steps of the ledgers
// that this node owns.
func (c *Coordinator) Statuses() []api.StepStatus {
	var statuses []api.StepStatus
	for _, t := range c.tenures() {
		statuses = append(statuses, t.openStatuses()...)
		statuses = append(statuses, t.abandonedStatuses()...)
	}
	return statuses
}

// followerOf returns the follower of a trainer's ledger, or nil.
func (c *Coordinator) followerOf(trainer string) *follower {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.followers[trainer]
}
