package cluster

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

// DefaultProbeInterval is the default SWIM protocol period.
const DefaultProbeInterval = 500 * time.Millisecond

// Options configures a Cluster.
type Options struct {
	// Self describes this node; ID, Writer, Address and Zone are required.
	Self Member
	// Region is the region of this node's zone; engines of other regions are ignored.
	Region string
	// Seeds are the peer addresses to contact first, in any zone.
	Seeds []string
	// Caller and Registry are the peer transport.
	Caller   peer.Caller
	Registry peer.Registry
	// Machines is the platform's machine list; nil if there is none.
	Machines machines.Source
	// ProbeInterval is the SWIM protocol period; 0 means DefaultProbeInterval.
	ProbeInterval time.Duration
	Logger        zerolog.Logger
	// Registerer registers the cluster's metrics; nil disables them.
	Registerer prometheus.Registerer
}
