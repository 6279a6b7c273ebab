package clusterversion

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// observeFor applies the same view once a second.
func observeFor(s *State, view View, from time.Time, period time.Duration) time.Time {
	now := from
	for ; now.Sub(from) < period; now = now.Add(time.Second) {
		s.Observe(view, now)
	}
	return now
}

func isDue(s *State) bool {
	_, due := s.Raise()
	return due
}

// Guards against a cluster version above the build of a live node, which could not read what is written from it on.
func TestTheClusterIsRaisedOnceAllLiveNodesAgree(t *testing.T) {
	s := New(Announced)
	assert.NilError(t, s.Learn(Unversioned))
	mixed := View{Lowest: Homes, Highest: Announced, Current: true}
	now := observeFor(s, mixed, start, 2*agreementTime)
	raised, due := s.Raise()
	assert.Assert(t, due)
	assert.Equal(t, raised, Homes, "above the version of a live node")
	assert.NilError(t, s.Learn(raised))
	assert.Assert(t, !isDue(s))

	alike := View{Lowest: Announced, Highest: Announced, Current: true}
	now = observeFor(s, alike, now, agreementTime)
	assert.Assert(t, !isDue(s), "before every live node was heard")
	now = observeFor(s, mixed, now, 2*time.Second)
	now = observeFor(s, alike, now, agreementTime)
	assert.Assert(t, !isDue(s), "an older node was heard meanwhile")
	observeFor(s, alike, now, 2*time.Second)
	raised, due = s.Raise()
	assert.Assert(t, due)
	assert.Equal(t, raised, Announced)
}

// Guards against a raise by a process that was stopped, or whose reads fail: all others seem gone to it.
func TestAnInterruptedViewProvesNothing(t *testing.T) {
	alone := View{Lowest: Announced, Highest: Announced, Current: true}
	s := New(Announced)
	assert.NilError(t, s.Learn(Homes))
	now := observeFor(s, alone, start, agreementTime)
	s.Observe(alone, now.Add(time.Hour))
	assert.Assert(t, !isDue(s), "after a standstill")

	stale := alone
	stale.Current = false
	observeFor(s, stale, now.Add(time.Hour), 2*agreementTime)
	assert.Assert(t, !isDue(s), "while reads fail")
}

// Guards against a raise by a node that does not know the cluster version in the log.
func TestAnUnknownClusterVersionIsNotRaised(t *testing.T) {
	s := New(Announced)
	view := View{Lowest: Announced, Highest: Announced, Current: true}
	observeFor(s, view, start, 2*agreementTime)
	assert.Assert(t, !isDue(s))
	assert.Assert(t, s.NeedsRead(view))
	assert.Assert(t, !s.Reached(Unversioned), "an unknown cluster version was relied on")
}

// Guards against a downgrade below the cluster version, and one that a late read finds.
func TestABuildBelowTheClusterVersionDoesNotRun(t *testing.T) {
	s := New(Announced)
	assert.NilError(t, s.Learn(Announced))
	var tooOld *TooOldError
	assert.Assert(t, errors.As(s.Learn(Announced+1), &tooOld))
	assert.Equal(t, *tooOld, TooOldError{Build: Announced, Cluster: Announced + 1})
	assert.Assert(t, errors.As(s.Learn(Homes), &tooOld), "a lower version was taken back")
}

// Guards against reads of the version topic by every node all the time, and against a node that misses a raise.
func TestTheLogIsReadOnlyWhenARaiseIsPossible(t *testing.T) {
	s := New(Announced)
	assert.NilError(t, s.Learn(Homes))
	alike := View{Lowest: Announced, Highest: Announced, Current: true}
	assert.Assert(t, !s.NeedsRead(View{Lowest: Homes, Highest: Announced}))
	assert.Assert(t, s.NeedsRead(View{Lowest: Homes, Highest: Announced + 1}))
	now := observeFor(s, alike, start, agreementTime)
	assert.Assert(t, !s.NeedsRead(alike), "before the leader raises it")
	observeFor(s, alike, now, 2*time.Second)
	assert.Assert(t, s.NeedsRead(alike))
	assert.NilError(t, s.Learn(Announced))
	assert.Assert(t, !s.NeedsRead(alike))
	assert.Assert(t, !s.NeedsRead(View{Lowest: Unversioned, Highest: Announced}), "an older node that joins late")
}

// Guards against a feature that is served while a node is live that does not know it.
func TestAFeatureIsServedOnlyWithoutOlderNodes(t *testing.T) {
	s := New(Announced)
	mixed := View{Lowest: Unversioned, Highest: Announced, Known: true}
	alike := View{Lowest: Homes, Highest: Announced, Known: true}
	assert.Assert(t, !s.Serves(Homes, mixed))
	assert.Assert(t, !s.Serves(Homes, View{Lowest: Announced, Highest: Announced}), "before the node knows of the others")
	assert.Assert(t, s.Serves(Homes, alike), "a cluster that has just started")
	assert.NilError(t, s.Learn(Homes))
	assert.Assert(t, s.Serves(Homes, mixed), "the cluster version is never lowered")
}

// Guards against a version that is read from the fields of an announcement of another build.
func TestTheVersionOfAnAnnouncement(t *testing.T) {
	assert.Equal(t, OfAnnouncement(0, ""), Unversioned)
	assert.Equal(t, OfAnnouncement(0, "north"), Homes)
	assert.Equal(t, OfAnnouncement(Announced, ""), Announced)
	assert.Equal(t, OfAnnouncement(7, "north"), Version(7))
}

// Guards against a record that another build misreads.
func TestRecordsRoundTrip(t *testing.T) {
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

// Guards against any order of reads, views and pauses that lowers the cluster version or raises it above a live node.
func TestTheClusterVersionOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Announced)
		now, before := start, s.Cluster()
		lowestHeard := map[time.Time]Version{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			view := View{Highest: Announced, Current: rapid.IntRange(0, 20).Draw(t, "current") > 0}
			view.Lowest = Version(rapid.SampledFrom([]uint32{0, 1, 1, 2, 2, 2, 2, 2, 2, 2}).Draw(t, "lowest"))
			s.Observe(view, now)
			lowestHeard[now] = view.Lowest
			if raised, due := s.Raise(); due {
				for at, lowest := range lowestHeard {
					if now.Sub(at) < agreementTime && lowest < raised {
						t.Fatalf("raised to %d, %s after a node of %d was heard", raised, now.Sub(at), lowest)
					}
				}
				_ = s.Learn(raised)
			}
			if rapid.Bool().Draw(t, "read") {
				_ = s.Learn(Version(rapid.IntRange(0, int(Announced)).Draw(t, "cluster")))
			}
			if s.Cluster() < before {
				t.Fatalf("lowered from %d to %d", before, s.Cluster())
			}
			before = s.Cluster()
		}
	})
}
