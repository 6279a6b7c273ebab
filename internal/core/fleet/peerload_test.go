package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// peerEntry returns an entry of other nodes with requests in flight, counted at now.
func peerEntry(id string, inFlight int) loadexchange.Entry {
	return loadexchange.Entry{Engine: incarnationOf(id), Service: "s", InFlight: inFlight, CountedAt: now}
}

func occupiedAt(f *Fleet, at time.Time) int {
	_, occupied := f.Capacity("s", at)
	return occupied
}

// Guards against a node that counts the requests of others in place of its own, or not at all.
func TestOccupancyIsTheHighestOfAllSources(t *testing.T) {
	a := incarnationOf("a")
	f := fleetOf(testEngine("a", "z"))
	f.RequestStarted(a)
	f.SetPeerLoad([]loadexchange.Entry{peerEntry("a", 2)})
	assert.Equal(t, occupiedAt(f, now), 3, "own requests and those of others")
	f.RequestStarted(a)
	f.RequestEnded(a, Outcome{At: now, Load: &Load{Running: 4, Waiting: 1}})
	assert.Equal(t, occupiedAt(f, now), 5, "the engine's own report is higher")
	f.SetPeerLoad([]loadexchange.Entry{peerEntry("a", 7)})
	assert.Equal(t, occupiedAt(f, now), 8)
	f.SetPeerLoad(nil)
	assert.Equal(t, occupiedAt(f, now), 5, "a new view replaces the earlier one")
}

// Guards against a report that hides a newer one, whoever received it.
func TestNewestReportCountsWhoeverReceivedIt(t *testing.T) {
	a := incarnationOf("a")
	f := fleetOf(testEngine("a", "z"))
	f.RequestStarted(a)
	f.RequestEnded(a, Outcome{At: now, Load: &Load{Running: 4}})
	entry := loadexchange.Entry{Engine: a, Service: "s", Running: 2, ReportedAt: now.Add(10 * time.Millisecond)}
	f.SetPeerLoad([]loadexchange.Entry{entry})
	assert.Equal(t, occupiedAt(f, now.Add(20*time.Millisecond)), 2)
	entry.Running, entry.ReportedAt = 9, now.Add(-10*time.Millisecond)
	f.SetPeerLoad([]loadexchange.Entry{entry})
	assert.Equal(t, occupiedAt(f, now.Add(20*time.Millisecond)), 4)
}

// Guards against choices by load data that is older than the TTL.
func TestLoadOfPeersExpires(t *testing.T) {
	f := fleetOf(testEngine("a", "z"))
	entry := peerEntry("a", 3)
	entry.Running, entry.ReportedAt = 6, now.Add(-100*time.Millisecond)
	f.SetPeerLoad([]loadexchange.Entry{entry})
	assert.Equal(t, occupiedAt(f, now.Add(399*time.Millisecond)), 6)
	assert.Equal(t, occupiedAt(f, now.Add(400*time.Millisecond)), 3)
	assert.Equal(t, occupiedAt(f, now.Add(499*time.Millisecond)), 3)
	assert.Equal(t, occupiedAt(f, now.Add(500*time.Millisecond)), 0)
}

// Guards against the load of a restarted engine's previous incarnation.
func TestLoadOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	f := fleetOf(testEngine("a", "z"))
	f.SetPeerLoad([]loadexchange.Entry{peerEntry("a", 3)})
	assert.Equal(t, occupiedAt(f, now), 3)
	restarted := testEngine("a", "z")
	restarted.StartMillis = 5
	assert.Equal(t, f.Put(restarted), Replaced)
	assert.Equal(t, occupiedAt(f, now), 0, "known before the restart")
	f.SetPeerLoad([]loadexchange.Entry{peerEntry("a", 3), peerEntry("unknown", 3)})
	assert.Equal(t, occupiedAt(f, now), 0, "received after the restart")
	current := peerEntry("a", 2)
	current.Engine = incarnation.ID{Engine: "a", StartMillis: 5}
	f.SetPeerLoad([]loadexchange.Entry{current})
	assert.Equal(t, occupiedAt(f, now), 2)
}

// Guards against messages of nodes without requests, and against engines that stay counted after their last request.
func TestOwnLoadCoversEnginesInUse(t *testing.T) {
	f := fleetOf(testEngine("a", "z"), testEngine("b", "z"), testEngine("c", "z"))
	assert.Equal(t, len(f.OwnLoad(now)), 0)
	f.RequestStarted(incarnationOf("a"))
	f.RequestStarted(incarnationOf("b"))
	f.RequestEnded(incarnationOf("b"), Outcome{At: now, Load: &Load{Running: 2, Waiting: 1}})
	// What other nodes reported is theirs to send.
	f.SetPeerLoad([]loadexchange.Entry{peerEntry("c", 4)})
	entries := f.OwnLoad(now)
	assert.Equal(t, len(entries), 2)
	for _, entry := range entries {
		switch entry.Engine.Engine {
		case "a":
			assert.DeepEqual(t, entry, peerEntry("a", 1))
		case "b":
			wanted := peerEntry("b", 0)
			wanted.Running, wanted.Waiting, wanted.ReportedAt = 2, 1, now
			assert.DeepEqual(t, entry, wanted)
		}
	}
	f.RequestEnded(incarnationOf("a"), Outcome{At: now})
	concluding := f.OwnLoad(now)
	assert.Equal(t, len(concluding), 2, "the end of the last request is reported")
	for _, entry := range concluding {
		assert.Equal(t, entry.InFlight, 0)
	}
	assert.Equal(t, len(f.OwnLoad(now)), 0)
}

// nodePair is two nodes in zone "z" that send to the engines "near", in the same zone, and "far".
type nodePair struct {
	fleets [2]*Fleet
	state  *loadexchange.State
}

func newNodePair(slots int) *nodePair {
	p := &nodePair{state: loadexchange.NewState()}
	near, far := testEngine("near", "z"), testEngine("far", "other")
	near.Slots, far.Slots = slots, slots
	for node := range p.fleets {
		p.fleets[node] = fleetOf(near, far)
	}
	return p
}

// exchange passes the load data of both nodes through messages.
func (p *nodePair) exchange(t *testing.T) {
	t.Helper()
	for node, f := range p.fleets {
		message, err := loadexchange.NewMessage(loadexchange.Message{}, f.OwnLoad(now), now)
		assert.NilError(t, err)
		received, err := message.Entries(now)
		assert.NilError(t, err)
		p.state.MergeNode(fmt.Sprint(node), received, now)
	}
	for node, f := range p.fleets {
		f.SetPeerLoad(p.state.View(fmt.Sprint(node), []string{"s"}, now))
	}
}

// send starts a request of a node at the engine that the node chooses, and returns the engine.
func (p *nodePair) send(node int) string {
	engine := chooseID(p.fleets[node], Query{Zone: "z"})
	p.fleets[node].RequestStarted(incarnationOf(engine))
	return engine
}

// Guards against two nodes that fill an engine together although another one is free, since each of them knows only
// its own requests.
func TestNodesChooseDifferentEnginesOnceTheyExchange(t *testing.T) {
	for _, test := range []struct {
		exchange bool
		wanted   [2]string
	}{{false, [2]string{"near", "near"}}, {true, [2]string{"near", "far"}}} {
		p := newNodePair(1)
		first := p.send(0)
		if test.exchange {
			p.exchange(t)
		}
		assert.Equal(t, [2]string{first, p.send(1)}, test.wanted, "exchange: %v", test.exchange)
	}
}

// Guards against further requests to an engine that two nodes filled together: two requests of each node fill the near
// engine, and one of each leaves half of the far one free.
func TestNodesAvoidAnEngineThatTheyFilledTogetherOnceTheyExchange(t *testing.T) {
	for _, test := range []struct {
		exchange bool
		wanted   string
	}{{false, "near"}, {true, "far"}} {
		p := newNodePair(4)
		for _, f := range p.fleets {
			f.RequestStarted(incarnationOf("near"))
			f.RequestStarted(incarnationOf("near"))
			f.RequestStarted(incarnationOf("far"))
		}
		if test.exchange {
			p.exchange(t)
		}
		for node, f := range p.fleets {
			assert.Equal(t, chooseID(f, Query{Zone: "z"}), test.wanted, "node %d, exchange: %v", node, test.exchange)
		}
	}
}
