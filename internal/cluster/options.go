package cluster

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

// DefaultProbeInterval is the SWIM protocol period when Options names none.
const DefaultProbeInterval = 500 * time.Millisecond

// Options configures a Cluster.
type Options struct {
	// Self is this node; ID, Writer, Address and Zone must be set.
	Self Member
	// Region is the region of this node's zone, for the machine list.
	Region string
	// Seeds are peer addresses to try first, of any zone.
	Seeds []string
	// Caller and Registry are the peer transport.
	Caller   peer.Caller
	Registry peer.Registry
	// Machines is the platform's list; nil means that there is none.
	Machines machines.Source
	// ProbeInterval is the SWIM protocol period; 0 means DefaultProbeInterval.
	ProbeInterval time.Duration
	Logger        zerolog.Logger
	// Registerer takes the cluster's metrics; nil registers none.
	Registerer prometheus.Registerer
}
