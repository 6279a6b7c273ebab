package logrelay

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

var testPartition = eventlog.Partition{Topic: "t", Number: 2}

// relayFixture is a log that is reached through a peer only: the fallback's direct calls are refused.
type relayFixture struct {
	log      *memlog.Log
	fallback *Fallback
}

func canRelayAlways() bool { return true }

// peersAt returns peers at the addresses, all at the same distance.
func peersAt(addresses ...string) func() []Peer {
	peers := make([]Peer, len(addresses))
	for i, address := range addresses {
		peers[i] = Peer{Address: address}
	}
	return func() []Peer { return peers }
}

func newRefusingLog() *memlog.Log {
	log := memlog.New()
	log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	return log
}

func newRelayFixture(t *testing.T) *relayFixture {
	t.Helper()
	f := &relayFixture{log: memlog.New()}
	server := httptest.NewServer(NewHandler(f.log, canRelayAlways, noReplicas{}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	f.fallback = NewFallback(newRefusingLog(), peersAt(address), NewClient(), zerolog.Nop())
	for range failuresToSwitch {
		_, err := f.fallback.Append(t.Context(), testPartition, nil)
		assert.Assert(t, errors.Is(err, eventlog.ErrNotPerformed))
	}
	return f
}

func TestRefusedNodeCallsTheLogThroughPeer(t *testing.T) {
	f := newRelayFixture(t)
	first, err := f.fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a"), []byte("b")})
	assert.NilError(t, err)
	assert.Equal(t, first, int64(0))
	_, err = f.fallback.AppendAt(t.Context(), testPartition, 1, [][]byte{[]byte("c")})
	var conflict *eventlog.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.End, int64(2))
	batch, err := f.fallback.Read(t.Context(), testPartition, 1, 1024, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.First, int64(1))
	assert.Equal(t, batch.End, int64(2))
	assert.Equal(t, string(batch.Records[0]), "b")
	f.log.Trim(testPartition, 1)
	_, err = f.fallback.Read(t.Context(), testPartition, 0, 1024, 0)
	var trimmed *eventlog.TrimmedError
	assert.Assert(t, errors.As(err, &trimmed))
	assert.Equal(t, trimmed.First, int64(1))
}

func TestKeyedTopicsAreReadThroughPeer(t *testing.T) {
	f := newRelayFixture(t)
	f.log.Put("keyed.x", "k", []byte("v1"))
	newest, err := f.fallback.Newest(t.Context(), "keyed.x")
	assert.NilError(t, err)
	assert.Equal(t, string(newest.Records[0].Value), "v1")
	f.log.Put("keyed.x", "k", nil)
	changes, err := f.fallback.ReadKeyed(t.Context(), "keyed.x", newest.Next, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, changes.Records[0].Deleted)
	assert.Equal(t, changes.Next, int64(2))
}

// TestRelayedErrorsKeepTheirMeaning guards against an unknown outcome that is reported as not done, or the reverse.
func TestRelayedErrorsKeepTheirMeaning(t *testing.T) {
	f := newRelayFixture(t)
	f.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.LostResponse })
	_, err := f.fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
	assert.Assert(t, errors.Is(err, eventlog.ErrOutcomeUnknown), "%v", err)
	f.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := f.fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
		if errors.Is(err, eventlog.ErrNotPerformed) {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, f.log.End(testPartition), int64(1))
}

func TestCallsAreDirectAgainAfterRecovery(t *testing.T) {
	direct, other := memlog.New(), memlog.New()
	server := httptest.NewServer(NewHandler(other, canRelayAlways, noReplicas{}))
	t.Cleanup(server.Close)
	fallback := NewFallback(direct, peersAt(strings.TrimPrefix(server.URL, "http://")), NewClient(), zerolog.Nop())
	direct.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	for range failuresToSwitch {
		_, _ = fallback.Append(t.Context(), testPartition, nil)
	}
	_, err := fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
	assert.NilError(t, err)
	assert.Equal(t, other.End(testPartition), int64(1))
	direct.SetFault(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, _ = fallback.Append(t.Context(), testPartition, [][]byte{[]byte("b")})
		if direct.End(testPartition) > 0 {
			return poll.Success()
		}
		return poll.Continue("not direct yet")
	}, poll.WithTimeout(10*time.Second))
}

func TestCallsStayDirectWithoutPeers(t *testing.T) {
	fallback := NewFallback(newRefusingLog(), peersAt(), NewClient(), zerolog.Nop())
	for range 3 * failuresToSwitch {
		_, err := fallback.Append(t.Context(), testPartition, nil)
		assert.Assert(t, errors.Is(err, eventlog.ErrNotPerformed))
	}
}

// TestCallTriesNextPeerIfOneCannotRelay guards against a call that fails although another peer reaches the log.
func TestCallTriesNextPeerIfOneCannotRelay(t *testing.T) {
	log := memlog.New()
	var addresses []string
	for _, canRelay := range []bool{false, false, true, false} {
		server := httptest.NewServer(NewHandler(log, func() bool { return canRelay }, noReplicas{}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	fallback := NewFallback(newRefusingLog(), peersAt(addresses...), NewClient(), zerolog.Nop())
	for range failuresToSwitch {
		_, _ = fallback.Append(t.Context(), testPartition, nil)
	}
	assert.Assert(t, !fallback.IsDirect())
	_, err := fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
	assert.NilError(t, err)
	assert.Equal(t, log.End(testPartition), int64(1))
}

// TestFirstCallAfterSharedOutageIsMadeDirectly guards against an outage of the log that lasts on because each node
// waits for the others.
func TestFirstCallAfterSharedOutageIsMadeDirectly(t *testing.T) {
	log := newRefusingLog()
	var addresses []string
	for range 2 * maxPeersTried {
		server := httptest.NewServer(NewHandler(log, func() bool { return false }, noReplicas{}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	fallback := NewFallback(log, peersAt(addresses...), NewClient(), zerolog.Nop())
	for range failuresToSwitch {
		_, _ = fallback.Append(t.Context(), testPartition, nil)
	}
	log.SetFault(nil)
	_, err := fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
	assert.NilError(t, err)
	assert.Assert(t, fallback.IsDirect())
}

// TestSharedOutageLimitsCallsToPeers guards against nodes that flood each other with calls, or keep many
// connections open, during an outage of the log.
func TestSharedOutageLimitsCallsToPeers(t *testing.T) {
	var requests, open atomic.Int64
	handler := NewHandler(newRefusingLog(), func() bool {
		requests.Add(1)
		return false
	}, noReplicas{})
	var addresses []string
	for range 40 {
		server := httptest.NewUnstartedServer(handler)
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	fallback := NewFallback(newRefusingLog(), peersAt(addresses...), NewClient(), zerolog.Nop())
	started := time.Now()
	for range 50 {
		_, err := fallback.Append(t.Context(), testPartition, nil)
		assert.Assert(t, errors.Is(err, eventlog.ErrNotPerformed))
	}
	rounds := int64(time.Since(started)/outagePause) + 1
	assert.Assert(t, requests.Load() <= rounds*maxPeersTried, "%d calls to other nodes", requests.Load())
	assert.Assert(t, requests.Load() > 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open.Load() <= idleConnections {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", open.Load())
	}, poll.WithTimeout(10*time.Second))
}

func TestUndecodableRequestsAreRejected(t *testing.T) {
	server := httptest.NewServer(NewHandler(memlog.New(), canRelayAlways, noReplicas{}))
	t.Cleanup(server.Close)
	response, err := server.Client().Post(server.URL+Path, "", strings.NewReader("\xdf\xff\xff\xff\xff"))
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, 400)
}

func TestDirectoryListsOtherNodes(t *testing.T) {
	log := memlog.New()
	one := NewDirectory(log, NodeInfo{Node: "n1", Address: "127.0.0.1:1"}, pacing.Limits{}, zerolog.Nop())
	two := NewDirectory(log, NodeInfo{Node: "n2", Address: "127.0.0.1:2"}, pacing.Limits{}, zerolog.Nop())
	go func() { _ = one.Run(t.Context()) }()
	go func() { _ = two.Run(t.Context()) }()
	_, err := log.Append(t.Context(), eventlog.Partition{Topic: directoryTopic}, [][]byte{[]byte("no member")})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if peers := one.PeerAddresses(); len(peers) == 1 && peers[0] == "127.0.0.1:2" {
			return poll.Success()
		}
		return poll.Continue("not listed yet")
	}, poll.WithTimeout(20*time.Second))
}

// TestNewNodesAreLoggedInOneLine guards against logs that grow with the square of the number of nodes.
func TestNewNodesAreLoggedInOneLine(t *testing.T) {
	log := memlog.New()
	for number := range 300 {
		self := NodeInfo{Node: fmt.Sprint("n", number), Address: fmt.Sprint("127.0.0.1:", number)}
		directory := NewDirectory(log, self, pacing.Limits{}, zerolog.Nop())
		assert.NilError(t, directory.announce(t.Context(), time.Minute))
	}
	var lines bytes.Buffer
	reader := NewDirectory(log, NodeInfo{Node: "reader", Address: "127.0.0.1:9999"}, pacing.Limits{}, zerolog.New(&lines))
	reader.read(t.Context())
	assert.Equal(t, reader.Nodes(), 301)
	assert.Equal(t, strings.Count(lines.String(), "\n"), 1, lines.String())
	assert.Assert(t, strings.Contains(lines.String(), `"listed":300`), lines.String())
	reader.read(t.Context())
	assert.Equal(t, strings.Count(lines.String(), "\n"), 1, "nothing is new: %s", lines.String())
}
