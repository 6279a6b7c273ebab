package logrelay

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

// Peer is another node, by whose way the log may be called.
type Peer struct {
	Address string
	// Region is where the node lies; empty where it is not known.
	Region   string
	Distance topology.Distance
}

// maxPausedPeers is the number of nodes at one distance that could not help just now from which on
// nodes at other distances go first: what keeps a zone or a region from the log keeps all of it.
const maxPausedPeers = 2

// choosePeer returns a node within the regions that has not failed just now, one of the nearest;
// empty when there is none.
func choosePeer(peers []Peer, within homes.Set, pausedTo map[string]time.Time, now time.Time) string {
	able := make(map[topology.Distance][]string)
	paused := make(map[topology.Distance]int)
	for _, peer := range peers {
		switch {
		case !within.Allows(peer.Region):
		case now.Before(pausedTo[peer.Address]):
			paused[peer.Distance]++
		default:
			able[peer.Distance] = append(able[peer.Distance], peer.Address)
		}
	}
	var failing []string
	for distance := topology.SameZone; distance <= topology.OtherRegion; distance++ {
		switch {
		case len(able[distance]) == 0:
		case paused[distance] < maxPausedPeers:
			return able[distance][rand.IntN(len(able[distance]))]
		case failing == nil:
			failing = able[distance]
		}
	}
	if failing == nil {
		return ""
	}
	return failing[rand.IntN(len(failing))]
}
