package cluster

import "sync"

// OwnershipAnnouncer joins the streams owned by several coordinators into the
// one list that a node announces. It is safe for concurrent use.
type OwnershipAnnouncer struct {
	target Announcer

	mu      sync.Mutex
	sources []*ownershipSource
}

// ownershipSource is the Announcer of one coordinator.
type ownershipSource struct {
	Announcer
	joined *OwnershipAnnouncer
	owned  []Ownership
}

// NewOwnershipAnnouncer returns an OwnershipAnnouncer that announces to target.
func NewOwnershipAnnouncer(target Announcer) *OwnershipAnnouncer {
	return &OwnershipAnnouncer{target: target}
}

// Source returns an Announcer for one more coordinator. All but its owned
// streams goes to the target as it is.
func (a *OwnershipAnnouncer) Source() Announcer {
	a.mu.Lock()
	defer a.mu.Unlock()
	added := &ownershipSource{Announcer: a.target, joined: a}
	a.sources = append(a.sources, added)
	return added
}

// AnnounceOwned replaces this coordinator's part of the list.
func (s *ownershipSource) AnnounceOwned(owned []Ownership) {
	s.joined.mu.Lock()
	defer s.joined.mu.Unlock()
	s.owned = append([]Ownership(nil), owned...)
	var all []Ownership
	for _, source := range s.joined.sources {
		all = append(all, source.owned...)
	}
	s.joined.target.AnnounceOwned(all)
}
