package clusterversion

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// observeFor observes the same view once a second and returns the time after the period.
func observeFor(s *State, view View, from time.Time, period time.Duration) time.Time {
	now := from
	for ; now.Sub(from) < period; now = now.Add(time.Second) {
		s.Observe(view, now)
	}
	return now
}

func isDue(s *State) bool {
	_, due := s.PendingRaise()
	return due
}

// Guards against a cluster version above that of a live node, which could not read records of that version.
func TestRaiseRequiresAgreementOfAllLiveNodes(t *testing.T) {
	s := New(Announced)
	assert.NilError(t, s.Apply(Unversioned))
	mixed := View{Lowest: Homes, Highest: Announced, Current: true}
	now := observeFor(s, mixed, start, 2*agreementPeriod)
	raised, due := s.PendingRaise()
	assert.Assert(t, due)
	assert.Equal(t, raised, Homes, "above the version of a live node")
	assert.NilError(t, s.Apply(raised))
	assert.Assert(t, !isDue(s))

	uniform := View{Lowest: Announced, Highest: Announced, Current: true}
	now = observeFor(s, uniform, now, agreementPeriod)
	assert.Assert(t, !isDue(s), "not all live nodes have announced a version since")
	now = observeFor(s, mixed, now, 2*time.Second)
	now = observeFor(s, uniform, now, agreementPeriod)
	assert.Assert(t, !isDue(s), "an older node was seen meanwhile")
	observeFor(s, uniform, now, 2*time.Second)
	raised, due = s.PendingRaise()
	assert.Assert(t, due)
	assert.Equal(t, raised, Announced)
}

// Guards against a raise by a process that was paused or cannot read the log, and so sees no other nodes.
func TestRaiseRequiresUninterruptedObservation(t *testing.T) {
	alone := View{Lowest: Announced, Highest: Announced, Current: true}
	s := New(Announced)
	assert.NilError(t, s.Apply(Homes))
	now := observeFor(s, alone, start, agreementPeriod)
	s.Observe(alone, now.Add(time.Hour))
	assert.Assert(t, !isDue(s), "after a pause")

	stale := alone
	stale.Current = false
	observeFor(s, stale, now.Add(time.Hour), 2*agreementPeriod)
	assert.Assert(t, !isDue(s), "while reads fail")
}

// Guards against a raise by a node that has not read the cluster version from the log.
func TestRaiseRequiresKnownClusterVersion(t *testing.T) {
	s := New(Announced)
	view := View{Lowest: Announced, Highest: Announced, Current: true}
	observeFor(s, view, start, 2*agreementPeriod)
	assert.Assert(t, !isDue(s))
	assert.Assert(t, s.NeedsRead(view))
	assert.Assert(t, !s.Reached(Unversioned), "the cluster version is not known")
}

// Guards against a build that runs although it is older than the cluster version, also if a later read shows so.
func TestApplyRejectsBuildBelowClusterVersion(t *testing.T) {
	s := New(Announced)
	assert.NilError(t, s.Apply(Announced))
	var tooOld *TooOldError
	assert.Assert(t, errors.As(s.Apply(Announced+1), &tooOld))
	assert.Equal(t, *tooOld, TooOldError{Build: Announced, Cluster: Announced + 1})
	assert.Assert(t, errors.As(s.Apply(Homes), &tooOld), "the cluster version was lowered")
}

// Guards against constant reads of the version topic by all nodes, and against a node that misses a raise.
func TestNeedsReadOnlyIfRaiseIsPossible(t *testing.T) {
	s := New(Announced)
	assert.NilError(t, s.Apply(Homes))
	uniform := View{Lowest: Announced, Highest: Announced, Current: true}
	assert.Assert(t, !s.NeedsRead(View{Lowest: Homes, Highest: Announced}))
	assert.Assert(t, s.NeedsRead(View{Lowest: Homes, Highest: Announced + 1}))
	now := observeFor(s, uniform, start, agreementPeriod)
	assert.Assert(t, !s.NeedsRead(uniform), "before the agreement period has passed")
	observeFor(s, uniform, now, 2*time.Second)
	assert.Assert(t, s.NeedsRead(uniform))
	assert.NilError(t, s.Apply(Announced))
	assert.Assert(t, !s.NeedsRead(uniform))
	assert.Assert(t, !s.NeedsRead(View{Lowest: Unversioned, Highest: Announced}), "an older node joins later")
}

// Guards against a feature that is used while a live node does not support it.
func TestSupportsOnlyWithoutOlderNodes(t *testing.T) {
	s := New(Announced)
	mixed := View{Lowest: Unversioned, Highest: Announced, Known: true}
	uniform := View{Lowest: Homes, Highest: Announced, Known: true}
	assert.Assert(t, !s.Supports(Homes, mixed))
	assert.Assert(t, !s.Supports(Homes, View{Lowest: Announced, Highest: Announced}), "before other announcements are read")
	assert.Assert(t, s.Supports(Homes, uniform), "without a raise if no older node is live")
	assert.NilError(t, s.Apply(Homes))
	assert.Assert(t, s.Supports(Homes, mixed), "the cluster version is never lowered")
}

// Guards against a wrong version of builds that announce none.
func TestOfAnnouncement(t *testing.T) {
	assert.Equal(t, OfAnnouncement(0, ""), Unversioned)
	assert.Equal(t, OfAnnouncement(0, "north"), Homes)
	assert.Equal(t, OfAnnouncement(Announced, ""), Announced)
	assert.Equal(t, OfAnnouncement(7, "north"), Version(7))
}

// Guards against records that cannot be decoded.
func TestRecordRoundTrip(t *testing.T) {
	record := Raised{Version: 7, Holder: "a-1"}
	raw, err := record.Encode()
	assert.NilError(t, err)
	decoded, err := DecodeRaised(raw)
	assert.NilError(t, err)
	assert.Equal(t, decoded, record)
	assert.Equal(t, record.Key(), "raised/7")
	assert.Assert(t, IsRaised(KindOf(record.Key())) && !IsRaised(KindOf("other/7")))
	_, err = DecodeRaised([]byte("x"))
	assert.Assert(t, err != nil)
}

// Guards against a sequence of reads, views and pauses that lowers the cluster version or raises it above that of a
// live node.
func TestClusterVersionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Announced)
		now, before := start, s.Cluster()
		lowestSeen := map[time.Time]Version{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			view := View{Highest: Announced, Current: rapid.IntRange(0, 20).Draw(t, "current") > 0}
			view.Lowest = Version(rapid.SampledFrom([]uint32{0, 1, 1, 2, 2, 2, 2, 2, 2, 2}).Draw(t, "lowest"))
			s.Observe(view, now)
			lowestSeen[now] = view.Lowest
			if raised, due := s.PendingRaise(); due {
				for at, lowest := range lowestSeen {
					if now.Sub(at) < agreementPeriod && lowest < raised {
						t.Fatalf("raised to %d, %s after a node of version %d was seen", raised, now.Sub(at), lowest)
					}
				}
				_ = s.Apply(raised)
			}
			if rapid.Bool().Draw(t, "read") {
				_ = s.Apply(Version(rapid.IntRange(0, int(Announced)).Draw(t, "cluster")))
			}
			if s.Cluster() < before {
				t.Fatalf("cluster version lowered from %d to %d", before, s.Cluster())
			}
			before = s.Cluster()
		}
	})
}
