// Package coordinator runs trainers' steps. For each trainer one node owns the
// ledger stream under a fenced epoch: it runs the open slots through the
// router, has the answers scored, records them, and delivers them to the
// trainer. Calls for a trainer that arrive at another node are forwarded.
//
// Which node claims a ledger is decided softly, by the view of the cluster.
// Which records count is decided by the stream alone: a node that wrongly
// believes that it owns a ledger can neither accept a step nor hand out or
// acknowledge a sample, because it waits for its own record to be read back.
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

// Options are the parts that a coordinator works with; all are required.
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

// Coordinator claims and runs trainers' ledgers, and is the client through
// which this node's trainer interface reaches any ledger.
type Coordinator struct {
	options Options
	metrics *metrics
	// draining is set once no ledger may be claimed and no call taken any more.
	draining atomic.Bool
	drained  chan struct{}

	// announcing orders the announcements of owned ledgers.
	announcing sync.Mutex

	mutex sync.Mutex
	// trainers holds the ledgers that this node follows, by trainer.
	trainers map[string]*follower
}

// New returns a coordinator and registers its peer handlers; Run starts it.
func New(options Options) *Coordinator {
	c := &Coordinator{
		options:  options,
		metrics:  newMetrics(options.Registerer),
		drained:  make(chan struct{}),
		trainers: make(map[string]*follower),
	}
	options.Registry.HandleCall(peer.MethodTrainer, c.handleTrainer)
	options.Registry.HandleCall(peer.MethodStepStatus, c.handleStepStatus)
	return c
}

// Statuses returns the unfinished steps of the ledgers that this node owns, and
// those that were abandoned of late.
func (c *Coordinator) Statuses() []api.StepStatus {
	var statuses []api.StepStatus
	for _, owned := range c.tenures() {
		statuses = append(statuses, owned.openStatuses()...)
		statuses = append(statuses, owned.abandonedStatuses()...)
	}
	return statuses
}

// follow returns the follower of a trainer, or nil.
func (c *Coordinator) follow(trainer string) *follower {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.trainers[trainer]
}
