package clusterversion

import "time"

const (
	// agreementTime is how long all live nodes must have announced a version before the cluster is raised to it. It is
	// longer than the time between two announcements of a node, so that every live node is heard meanwhile.
	agreementTime = 45 * time.Second
	// maxObservationGap is the longest time between two observations that still count as one agreement: a process that
	// was stopped for longer may have missed nodes.
	maxObservationGap = 5 * time.Second
)

// State is what a node knows of the cluster version.
//
// Invariant: the cluster version only rises, and is never raised above the version of a node in the view.
type State struct {
	build   Version
	cluster Version
	// known reports whether the log was read.
	known bool

	// agreed is the lowest version of the live nodes since agreedSince.
	agreed      Version
	agreedSince time.Time
	observedAt  time.Time
}

// New returns the state of a node of a build that has not read the log.
func New(build Version) *State { return &State{build: build} }

// Learn applies a complete read of the log that shows the cluster version. It returns a *TooOldError when the build
// must not run.
func (s *State) Learn(cluster Version) error {
	s.known = true
	s.cluster = max(s.cluster, cluster)
	if s.build < s.cluster {
		return &TooOldError{Build: s.build, Cluster: s.cluster}
	}
	return nil
}

// Known reports whether the log was read.
func (s *State) Known() bool { return s.known }

// Cluster returns the cluster version as last read.
func (s *State) Cluster() Version { return s.cluster }

// Reached reports whether the cluster is at a version for certain: from then on, new kinds of records of that version
// may be written.
func (s *State) Reached(version Version) bool { return s.known && s.cluster >= version }

// Serves reports whether a feature of a version may be served that older builds must not miss: the cluster is at the
// version, or no older node is among the live ones that are known. A cluster that has just started serves it without waiting for
// the agreement.
func (s *State) Serves(version Version, view View) bool {
	return s.Reached(version) || view.Known && view.Lowest >= version
}

// NeedsRead reports whether the log may hold a higher cluster version than is known: it was not read yet, all live
// nodes have agreed on one, or nodes of later builds may have.
func (s *State) NeedsRead(view View) bool {
	return !s.known || s.hasAgreement() || view.Highest > s.build
}

// Observe applies what a node sees of the others.
func (s *State) Observe(view View, now time.Time) {
	interrupted := now.Sub(s.observedAt) > maxObservationGap
	s.observedAt = now
	if interrupted || !view.Current || view.Lowest != s.agreed {
		s.agreed, s.agreedSince = view.Lowest, now
	}
}

// Raise returns the version to which the leader raises the cluster now.
func (s *State) Raise() (Version, bool) {
	return s.agreed, s.known && s.hasAgreement()
}

// hasAgreement reports whether all live nodes have announced a version above the cluster's for long enough.
func (s *State) hasAgreement() bool {
	return s.agreed > s.cluster && s.observedAt.Sub(s.agreedSince) >= agreementTime
}
