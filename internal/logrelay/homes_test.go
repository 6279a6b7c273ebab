package logrelay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/topology"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// relayNode is another node that relays calls, and the number of requests it received.
type relayNode struct {
	peer  Peer
	calls *atomic.Int64
}

// newRelayNodes starts one node in each region that relays calls of the log.
func newRelayNodes(t *testing.T, log eventlog.Log, canRelay func() bool) map[string]relayNode {
	t.Helper()
	nodes := make(map[string]relayNode)
	for distance, region := range []string{"north", "south", "west"} {
		calls := new(atomic.Int64)
		handler := NewHandler(log, canRelay, noReplicas{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		nodes[region] = relayNode{calls: calls, peer: Peer{
			Address: strings.TrimPrefix(server.URL, "http://"), Region: region, Distance: topology.Distance(distance),
		}}
	}
	return nodes
}

// newRefusedFallback returns the fallback of a node whose direct calls are refused by the log.
func newRefusedFallback(t *testing.T, nodes map[string]relayNode) *Fallback {
	t.Helper()
	fallback := NewFallback(newRefusingLog(), func() []Peer {
		var peers []Peer
		for _, node := range nodes {
			peers = append(peers, node.peer)
		}
		return peers
	}, NewClient(), zerolog.Nop())
	for range failuresToSwitch {
		_, _ = fallback.Append(t.Context(), testPartition, nil)
	}
	assert.Assert(t, !fallback.IsDirect())
	return fallback
}

func TestCallsWithHomesAreRelayedOnlyWithinThem(t *testing.T) {
	log := memlog.New()
	nodes := newRelayNodes(t, log, canRelayAlways)
	fallback := newRefusedFallback(t, nodes)
	south := homes.NewContext(t.Context(), homes.Of([]string{"south"}))
	for range 5 {
		_, err := fallback.Append(south, testPartition, [][]byte{[]byte("body")})
		assert.NilError(t, err)
		_, err = fallback.Read(context.WithoutCancel(south), testPartition, 0, 1024, 0)
		assert.NilError(t, err)
		_, err = fallback.Append(t.Context(), testPartition, [][]byte{[]byte("anywhere")})
		assert.NilError(t, err)
	}
	assert.Equal(t, nodes["south"].calls.Load(), int64(10))
	assert.Equal(t, nodes["west"].calls.Load(), int64(0))
	assert.Equal(t, nodes["north"].calls.Load(), int64(5), "the nearest peer, without homes")

	// Without a peer in the regions, the call ends with the result of the direct one.
	end := log.End(testPartition)
	_, err := fallback.Append(homes.NewContext(t.Context(), homes.Of([]string{"east"})), testPartition, [][]byte{[]byte("body")})
	assert.ErrorIs(t, err, eventlog.ErrNotPerformed)
	assert.Equal(t, log.End(testPartition), end)
}

// TestCallsWithHomesAreNotRelayedElsewhereOnFailure guards against falling back to a peer in another region when
// the one within the homes cannot reach the log.
func TestCallsWithHomesAreNotRelayedElsewhereOnFailure(t *testing.T) {
	log := memlog.New()
	nodes := newRelayNodes(t, log, func() bool { return false })
	fallback := newRefusedFallback(t, nodes)
	_, err := fallback.Append(homes.NewContext(t.Context(), homes.Of([]string{"south"})), testPartition, [][]byte{[]byte("body")})
	assert.ErrorIs(t, err, eventlog.ErrNotPerformed)
	assert.Assert(t, nodes["south"].calls.Load() > 0)
	assert.Equal(t, nodes["north"].calls.Load()+nodes["west"].calls.Load(), int64(0))
}

func TestChoosePeerPrefersNearPeersUnlessSeveralFail(t *testing.T) {
	now := time.Now()
	near1, near2 := Peer{Address: "near1"}, Peer{Address: "near2"}
	near3 := Peer{Address: "near3"}
	far := Peer{Address: "far", Distance: topology.OtherRegion}
	peers := []Peer{far, near1, near2, near3}
	paused := map[string]time.Time{}
	for range 20 {
		assert.Assert(t, choosePeer(peers, homes.Set{}, paused, now) != "far")
	}
	paused["near1"] = now.Add(time.Second)
	assert.Assert(t, choosePeer(peers, homes.Set{}, paused, now) != "far", "a single peer may have failed")
	paused["near2"] = now.Add(time.Second)
	assert.Equal(t, choosePeer(peers, homes.Set{}, paused, now), "far", "the zone may be cut off")
	paused["far"] = now.Add(time.Second)
	assert.Equal(t, choosePeer(peers, homes.Set{}, paused, now), "near3", "the last one left")
	paused["near3"] = now.Add(time.Second)
	assert.Equal(t, choosePeer(peers, homes.Set{}, paused, now), "")
}

func TestDirectoryReportsRegionsAndDistances(t *testing.T) {
	log := memlog.New()
	own := NewDirectory(log, NodeInfo{Node: "n1", Address: "127.0.0.1:1", Zone: "a1", Region: "a"}, pacing.Limits{}, zerolog.Nop())
	other := NewDirectory(log, NodeInfo{Node: "n2", Address: "127.0.0.1:2", Zone: "b1", Region: "b"}, pacing.Limits{}, zerolog.Nop())
	near := NewDirectory(log, NodeInfo{Node: "n3", Address: "127.0.0.1:3", Zone: "a2", Region: "a"}, pacing.Limits{}, zerolog.Nop())
	for _, directory := range []*Directory{own, other, near} {
		go func() { _ = directory.Run(t.Context()) }()
	}
	testwait.Until(t, "the others to be listed", func() bool { return len(own.Peers()) == 2 })
	for _, peer := range own.Peers() {
		wanted := Peer{Address: "127.0.0.1:2", Region: "b", Distance: topology.OtherRegion}
		if peer.Region == "a" {
			wanted = Peer{Address: "127.0.0.1:3", Region: "a", Distance: topology.SameRegion}
		}
		assert.Equal(t, peer, wanted)
	}
	assert.Assert(t, own.HasNodeIn(homes.Of([]string{"b"})) && own.HasNodeIn(homes.Of([]string{"a"})))
	assert.Assert(t, !own.HasNodeIn(homes.Of([]string{"c"})))
}

// TestSourcesWithinRegionsAreInThem guards against reads bound to a region that go to replicas in another one.
func TestSourcesWithinRegionsAreInThem(t *testing.T) {
	log := memlog.New()
	regions := map[string]string{}
	for number := range 320 {
		zone := number % 4
		self := NodeInfo{
			Node: fmt.Sprint("n", number), Address: fmt.Sprint("127.0.0.1:", number),
			Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2),
		}
		regions[self.Address] = self.Region
		assert.NilError(t, NewDirectory(log, self, pacing.Limits{}, zerolog.Nop()).announce(t.Context(), time.Minute))
	}
	reader := NewDirectory(log, NodeInfo{Node: "reader", Address: "127.0.0.1:9999", Zone: "z0", Region: "r0"}, pacing.Limits{}, zerolog.Nop())
	assert.Assert(t, reader.read(t.Context()))
	reader.chooseReplicas()
	assert.Assert(t, len(reader.Sources()) > 0)
	assert.DeepEqual(t, reader.SourcesWithin(homes.Set{}), reader.Sources())
	for _, region := range []string{"r0", "r1"} {
		sources := reader.SourcesWithin(homes.Of([]string{region}))
		assert.Assert(t, len(sources) > 0, region)
		for _, address := range sources {
			assert.Equal(t, regions[address], region)
		}
	}
	assert.Equal(t, len(reader.SourcesWithin(homes.Of([]string{"r2"}))), 0)
}
