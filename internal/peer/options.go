package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Options configures a Transport.
type Options struct {
	// NodeID is this node's member ID, told to peers in the first frame.
	NodeID string
	// ListenAddress is the TCP address to listen on ("ip:port"); port 0 picks one.
	ListenAddress string
	// AdvertiseAddress is the address under which peers reach this node. Empty
	// means the listener's address; port 0 takes the listener's port.
	AdvertiseAddress string
	// Logger takes connection events.
	Logger zerolog.Logger
	// Registerer takes the transport's counters; nil registers none.
	Registerer prometheus.Registerer
}
