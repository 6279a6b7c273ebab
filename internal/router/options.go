package router

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/routing"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// Defaults for Options.
const (
	// DefaultStaleAfter covers several gossip rounds.
	DefaultStaleAfter = 5 * time.Second
	// DefaultReattachTimeout covers a broken connection and a short pause of the dispatcher process.
	DefaultReattachTimeout = 3 * time.Second
	// DefaultHandoverTimeout covers a change of a cell's owner.
	DefaultHandoverTimeout = 2 * time.Second
	// DefaultContinueTimeout covers the failure of the node that runs the only cell of a pool: failure
	// detection, the new owner and its first digest.
	DefaultContinueTimeout = 15 * time.Second
)

// Options configures a CellRouter. Fields without a documented default are required.
type Options struct {
	NodeID string
	Zone   string
	Region string
	// Regions maps zones to regions; optional.
	Regions   map[string]string
	Caller    peer.Caller
	View      cluster.View
	Announcer cluster.Announcer
	Tables    policy.Source
	// Strategy names a routing.Strategy; empty or unknown selects routing.StrategyDefault.
	Strategy string
	Logger   zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Seed makes cell selection deterministic; 0 derives it from NodeID.
	Seed uint64
	// StaleAfter is the age from which a digest counts as stale.
	StaleAfter time.Duration
	// ReattachTimeout bounds reattaching to one dispatcher, counted from its last token.
	ReattachTimeout time.Duration
	// HandoverTimeout bounds how long a new request waits for a cell whose ownership is changing.
	HandoverTimeout time.Duration
	// ContinueTimeout bounds the search for another cell after a request lost its dispatcher.
	ContinueTimeout time.Duration
}

// CellRouter implements Router on the cells of the cluster. It is safe for concurrent use.
type CellRouter struct {
	options  Options
	locality routing.Locality
	shards   [shardCount]shard
	members  *memberIndex
	budget   *retryBudget
	metrics  *metrics
}

// shardCount is the number of locks; pools are distributed over them by hash.
const shardCount = 16

// shard holds the routing state of the pools that hash to it.
type shard struct {
	mutex   sync.Mutex
	tracker *routing.Tracker
	avoid   *routing.AvoidList
	picker  *routing.Picker
}

var _ Router = (*CellRouter)(nil)

// New returns a router. It starts no goroutines and needs no shutdown.
func New(options Options) *CellRouter {
	setDefaults(&options)
	strategy := routing.Strategy(options.Strategy)
	router := &CellRouter{
		options: options,
		locality: routing.Locality{
			Zone:    options.Zone,
			Region:  options.Region,
			Regions: options.Regions,
		},
		members: newMemberIndex(options.View),
		budget:  newRetryBudget(time.Now()),
		metrics: newMetrics(options.Registerer),
	}
	for index := range router.shards {
		router.shards[index].tracker = routing.NewTracker()
		router.shards[index].avoid = routing.NewAvoidList()
		router.shards[index].picker = routing.NewPicker(strategy, router.locality, options.Seed+uint64(index))
	}
	return router
}

func setDefaults(options *Options) {
	if !routing.Strategy(options.Strategy).Valid() {
		options.Strategy = string(routing.StrategyDefault)
	}
	if options.Seed == 0 {
		options.Seed = xxhash.Sum64String(options.NodeID)
	}
	setDefault(&options.StaleAfter, DefaultStaleAfter)
	setDefault(&options.ReattachTimeout, DefaultReattachTimeout)
	setDefault(&options.HandoverTimeout, DefaultHandoverTimeout)
	setDefault(&options.ContinueTimeout, DefaultContinueTimeout)
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
