package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const otherTopic = "other"

// faultyStore is one node's connection to a simulated store, served on a socket.
type faultyStore struct {
	*nodeStore
	log    *standin.Store
	leader *leaderTracker
	url    string
}

func newFaultyStore(t *testing.T) *faultyStore {
	t.Helper()
	s := &faultyStore{log: standin.NewStore(standin.DefaultLimits()), leader: newLeaderTracker()}
	s.nodeStore = newNodeStore(s.log, s.leader.observe)
	server := httptest.NewServer(s.nodeStore)
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// call returns the status of a call, or zero if no answer came in time.
func (s *faultyStore) call(t *testing.T, wait time.Duration, method, path string, body []byte) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, s.url+path, bytes.NewReader(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *faultyStore) read(t *testing.T, wait time.Duration, topic string) int {
	t.Helper()
	return s.call(t, wait, http.MethodGet, "/log-read?part=0&from=0&topic="+topic, nil)
}

func (s *faultyStore) write(t *testing.T, wait time.Duration, topic string, record lease.Record) int {
	t.Helper()
	raw, err := msgpack.Marshal(&record)
	assert.NilError(t, err)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)
	return s.call(t, wait, http.MethodPost, "/log-append?part=0&topic="+topic, body)
}

func (s *faultyStore) end(topic string) int64 { return s.log.Log.End(eventlog.Partition{Topic: topic}) }

func TestNodeStoreHangReads(t *testing.T) {
	s := newFaultyStore(t)
	end := s.begin(hangReads)
	assert.Equal(t, s.read(t, quietTime, otherTopic), 0)
	assert.Equal(t, s.write(t, waitTimeout, otherTopic, lease.Record{}), http.StatusOK)
	time.AfterFunc(quietTime, end)
	assert.Equal(t, s.read(t, waitTimeout, otherTopic), http.StatusOK)
}

func TestNodeStoreHangLeaseReads(t *testing.T) {
	s := newFaultyStore(t)
	defer s.begin(hangLeaseReads)()
	assert.Equal(t, s.read(t, quietTime, leaseTopic), 0)
	assert.Equal(t, s.read(t, waitTimeout, otherTopic), http.StatusOK)
}

// Late reads must return the state of the store at their arrival.
func TestNodeStoreLateReads(t *testing.T) {
	s := newFaultyStore(t)
	defer s.begin(lateReads)()
	began := time.Now()
	assert.Equal(t, s.read(t, waitTimeout, otherTopic), http.StatusOK)
	assert.Assert(t, time.Since(began) >= lateReadDelay)
}

func TestNodeStoreRefuseWrites(t *testing.T) {
	s := newFaultyStore(t)
	end := s.begin(refuseWrites)
	assert.Equal(t, s.write(t, waitTimeout, otherTopic, lease.Record{}), http.StatusServiceUnavailable)
	assert.Equal(t, s.read(t, waitTimeout, otherTopic), http.StatusOK)
	assert.Equal(t, s.end(otherTopic), int64(0))
	end()
	assert.Equal(t, s.write(t, waitTimeout, otherTopic, lease.Record{}), http.StatusOK)
}

func TestNodeStoreLoseAnswers(t *testing.T) {
	s := newFaultyStore(t)
	defer s.begin(loseAnswers)()
	assert.Equal(t, s.write(t, quietTime, otherTopic, lease.Record{}), 0)
	testwait.Until(t, "the write to take effect", func() bool { return s.end(otherTopic) == 1 })
}

// Late writes must take effect after the caller has given up.
func TestNodeStoreLateWrites(t *testing.T) {
	s := newFaultyStore(t)
	defer s.begin(lateWrites)()
	const writes = 4
	for range writes {
		_ = s.write(t, quietTime, otherTopic, lease.Record{})
	}
	testwait.Until(t, "the writes to take effect", func() bool { return s.end(otherTopic) == writes })
}

func TestNodeStoreLoseNextClaim(t *testing.T) {
	s := newFaultyStore(t)
	lost := make(chan struct{}, 2)
	cancelLoss := s.loseNextClaim(func() { lost <- struct{}{} })
	defer cancelLoss()
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Renew, Node: "node-1"}), http.StatusOK)
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Claim, Node: "node-1"}), 0)
	<-lost
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Claim, Node: "node-1"}), http.StatusOK)
	assert.Equal(t, s.end(leaseTopic), int64(3))
}

func TestNodeStoreOnOrder(t *testing.T) {
	s := newFaultyStore(t)
	notified := make(chan struct{}, 2)
	s.setOnOrder(func() { notified <- struct{}{} })
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Renew, Node: "node-1"}), http.StatusOK)
	assert.Equal(t, len(notified), 0)
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Order, Node: "node-1"}), http.StatusOK)
	<-notified
}

// The leader is the node that a record names, not the one whose connection it came on.
func TestLeaderTrackerSelectNode(t *testing.T) {
	s := newFaultyStore(t)
	const nodes = 4
	assert.Equal(t, s.leader.selectNode(Fault{Aim: AimLeader, Target: 7}, nodes), 3)
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Claim, Node: "node-1"}), http.StatusOK)
	assert.Equal(t, s.leader.selectNode(Fault{Aim: AimLeader, Target: 7}, nodes), 1)
	assert.Equal(t, s.write(t, waitTimeout, leaseTopic, lease.Record{Kind: lease.Claim, Node: "node-2"}), http.StatusOK)
	assert.Equal(t, s.leader.selectNode(Fault{Aim: AimTarget, Target: 7}, nodes), 3)
	assert.Equal(t, s.leader.selectNode(Fault{Aim: AimSameNode}, nodes), 1)
	assert.Equal(t, s.leader.selectNode(Fault{Aim: AimLeader}, nodes), 2)
}
