package logrelay

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

// Peer is another node, which may relay calls of the log.
type Peer struct {
	Address string
	// Region is empty if unknown.
	Region   string
	Distance topology.Distance
}

// maxPausedPeers is how many paused peers at one distance suffice to prefer peers at other distances: the whole zone
// or region may have lost its connection to the log.
const maxPausedPeers = 2

// choosePeer returns the address of a random peer within the regions that is not paused, as near as possible; empty
// if there is none.
func choosePeer(peers []Peer, within homes.Set, pausedUntil map[string]time.Time, now time.Time) string {
	available := make(map[topology.Distance][]string)
	paused := make(map[topology.Distance]int)
	for _, peer := range peers {
		switch {
		case !within.Allows(peer.Region):
		case now.Before(pausedUntil[peer.Address]):
			paused[peer.Distance]++
		default:
			available[peer.Distance] = append(available[peer.Distance], peer.Address)
		}
	}
	var fallbacks []string
	for distance := topology.SameZone; distance <= topology.OtherRegion; distance++ {
		switch {
		case len(available[distance]) == 0:
		case paused[distance] < maxPausedPeers:
			return available[distance][rand.IntN(len(available[distance]))]
		case fallbacks == nil:
			fallbacks = available[distance]
		}
	}
	if fallbacks == nil {
		return ""
	}
	return fallbacks[rand.IntN(len(fallbacks))]
}
