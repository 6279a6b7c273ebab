package node

import (
	"sync"

	"github.com/corkpulley/corkpulley/internal/cluster"
)

// ownershipAnnouncer joins the streams owned by several coordinators into the
// one list that a node announces.
type ownershipAnnouncer struct {
	target cluster.Announcer

	mutex   sync.Mutex
	sources []*sourceAnnouncer
}

// sourceAnnouncer is the Announcer of one coordinator.
type sourceAnnouncer struct {
	cluster.Announcer
	joined *ownershipAnnouncer
	owned  []cluster.Ownership
}

// source returns an Announcer for one more coordinator.
func (a *ownershipAnnouncer) source() cluster.Announcer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	added := &sourceAnnouncer{Announcer: a.target, joined: a}
	a.sources = append(a.sources, added)
	return added
}

// AnnounceOwned replaces this coordinator's part of the list.
func (s *sourceAnnouncer) AnnounceOwned(owned []cluster.Ownership) {
	s.joined.mutex.Lock()
	defer s.joined.mutex.Unlock()
	s.owned = append([]cluster.Ownership(nil), owned...)
	var all []cluster.Ownership
	for _, source := range s.joined.sources {
		all = append(all, source.owned...)
	}
	s.joined.target.AnnounceOwned(all)
}
