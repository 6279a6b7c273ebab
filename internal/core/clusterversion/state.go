package clusterversion

import "time"

const (
	// agreementPeriod is how long the lowest version of all live nodes must stay the same before the cluster is raised
	// to it. It exceeds the announcement interval, so that each live node announces its version at least once
	// meanwhile.
	agreementPeriod = 45 * time.Second
	// maxObservationGap is the maximum time between two observations within an agreement period. A process that was
	// paused for longer may have missed announcements.
	maxObservationGap = 5 * time.Second
)

// State is a node's view of the cluster version. It is not safe for concurrent use.
//
// Invariant: the cluster version never decreases, and is never raised above the version of a live node.
type State struct {
	build   Version
	cluster Version
	// known is true once the log has been read.
	known bool

	// agreed is the lowest version of the live nodes since agreedSince.
	agreed      Version
	agreedSince time.Time
	// observedAt is the time of the last observation.
	observedAt time.Time
}

// New returns the state of a node with the build's version that has not read the log.
func New(build Version) *State { return &State{build: build} }

// Apply records the cluster version that a complete read of the log found. It returns a *TooOldError if the build
// must not run.
func (s *State) Apply(cluster Version) error {
	s.known = true
	s.cluster = max(s.cluster, cluster)
	if s.build < s.cluster {
		return &TooOldError{Build: s.build, Cluster: s.cluster}
	}
	return nil
}

// Known reports whether the log has been read.
func (s *State) Known() bool { return s.known }

// Cluster returns the highest cluster version read.
func (s *State) Cluster() Version { return s.cluster }

// Reached reports whether the cluster has certainly reached a version, so that new kinds of records of that version
// may be written.
func (s *State) Reached(version Version) bool { return s.known && s.cluster >= version }

// Supports reports whether a feature that all live nodes must support, and that a version introduced, may be used: the
// cluster has reached the version, or no known live node is older. A new cluster can therefore use the feature before
// the first raise.
func (s *State) Supports(version Version, view View) bool {
	return s.Reached(version) || view.Known && view.Lowest >= version
}

// NeedsRead reports whether the log may contain a higher cluster version than is known: it has not been read yet, all
// live nodes have agreed on a higher version, or a node of a later build is live.
func (s *State) NeedsRead(view View) bool {
	return !s.known || s.hasAgreement() || view.Highest > s.build
}

// Observe applies the node's view of the live nodes at the given time.
func (s *State) Observe(view View, now time.Time) {
	interrupted := now.Sub(s.observedAt) > maxObservationGap
	s.observedAt = now
	if interrupted || !view.Current || view.Lowest != s.agreed {
		s.agreed, s.agreedSince = view.Lowest, now
	}
}

// PendingRaise returns the version to which the leader must raise the cluster now; false if none.
func (s *State) PendingRaise() (Version, bool) {
	return s.agreed, s.known && s.hasAgreement()
}

// hasAgreement reports whether all live nodes have been above the cluster version for the agreement period.
func (s *State) hasAgreement() bool {
	return s.agreed > s.cluster && s.observedAt.Sub(s.agreedSince) >= agreementPeriod
}
