package cluster

import "sync"

// OwnershipAnnouncer merges the owned streams of several coordinators into the single list announced by the
// node. It is safe for concurrent use.
type OwnershipAnnouncer struct {
	target Announcer

	mu      sync.Mutex
	sources []*ownershipSource
}

// ownershipSource is the Announcer of one coordinator.
type ownershipSource struct {
	Announcer
	parent *OwnershipAnnouncer
	owned  []Ownership
}

// NewOwnershipAnnouncer returns an OwnershipAnnouncer that announces to target.
func NewOwnershipAnnouncer(target Announcer) *OwnershipAnnouncer {
	return &OwnershipAnnouncer{target: target}
}

// Source returns an Announcer for an additional coordinator. All announcements other than owned streams are
// passed to the target unchanged.
func (a *OwnershipAnnouncer) Source() Announcer {
	a.mu.Lock()
	defer a.mu.Unlock()
	added := &ownershipSource{Announcer: a.target, parent: a}
	a.sources = append(a.sources, added)
	return added
}

// AnnounceOwnedStreams replaces the streams owned by this coordinator and announces the merged list.
func (s *ownershipSource) AnnounceOwnedStreams(owned []Ownership) {
	s.parent.mu.Lock()
	defer s.parent.mu.Unlock()
	s.owned = append([]Ownership(nil), owned...)
	var all []Ownership
	for _, source := range s.parent.sources {
		all = append(all, source.owned...)
	}
	s.parent.target.AnnounceOwnedStreams(all)
}
