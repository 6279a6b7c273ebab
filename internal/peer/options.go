package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/connections"
)

// Options configures a Transport.
type Options struct {
	// NodeID is the member ID of this node, sent to peers in the hello frame.
	NodeID string
	// ListenAddress is the TCP address to listen on ("ip:port"); port 0 selects a free port.
	ListenAddress string
	// AdvertiseAddress is the address at which peers reach this node. It defaults to the listener's address;
	// port 0 is replaced by the listener's port.
	AdvertiseAddress string
	// Logger receives connection events.
	Logger zerolog.Logger
	// Registerer registers the traffic metrics; nil disables them.
	Registerer prometheus.Registerer
	// Connections and Group are where accepted connections count. The default has no limit that the system does not have.
	Connections *connections.Set
	Group       *connections.Group
	// OnClosed is called for each accepted connection that is closed for others; nil for nothing.
	OnClosed func(reason boundedhttp.CloseReason)
}
