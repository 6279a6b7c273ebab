package hosted

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/logrelay"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

const versionTopic = "keyed.version"

// agreementTime is longer than nodes need to agree on a version and to read it.
const agreementTime = 2 * time.Minute

// versionedNode is a node that announces itself and follows the cluster version.
type versionedNode struct {
	*clusterVersion
	directory *logrelay.Directory
	stop      func()
}

// startVersionedNode starts a node. Builds before Announced announce themselves without a version.
func startVersionedNode(
	t *testing.T, log eventlog.Log, id string, build clusterversion.Version, leads bool,
) *versionedNode {
	t.Helper()
	n := &versionedNode{}
	logger := zerolog.Nop()
	self := logrelay.NodeInfo{Node: id, Region: "north", Version: build}
	if build < clusterversion.Announced {
		self.Version = clusterversion.Unversioned
	}
	if build < clusterversion.Homes {
		self.Region = ""
	}
	n.directory = logrelay.NewDirectory(log, self, pacing.Limits{}, logger)
	n.clusterVersion = newClusterVersion(clusterVersionOptions{
		Log: log, Topic: versionTopic, Build: build, Holder: id, View: n.directory.Versions,
		Leads: func() bool { return leads }, Budget: n.directory.Budget(),
		OnVersions: func(_, _ clusterversion.Version) {}, Logger: logger,
	})
	n.now = time.Now
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = n.directory.Run(ctx) })
	if build >= clusterversion.Announced {
		running.Go(func() { _ = n.Run(ctx) })
	}
	n.stop = func() {
		cancel()
		running.Wait()
	}
	return n
}

func (n *versionedNode) cluster() clusterversion.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Cluster()
}

// Guards against a record of a new version that is written while a live node's build cannot read it.
func TestLeaderRaisesClusterVersionWithoutOlderNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		old := startVersionedNode(t, log, "c", clusterversion.Homes, false)
		leader := startVersionedNode(t, log, "a", clusterversion.Announced, true)
		other := startVersionedNode(t, log, "b", clusterversion.Announced, false)
		time.Sleep(agreementTime)
		assert.Equal(t, leader.cluster(), clusterversion.Homes)
		newest, err := log.Newest(t.Context(), versionTopic)
		assert.NilError(t, err)
		assert.Equal(t, len(newest.Records), 1)
		assert.Equal(t, newest.Records[0].Key, clusterversion.Raised{Version: clusterversion.Homes}.Key())

		old.stop()
		time.Sleep(agreementTime)
		assert.Equal(t, leader.cluster(), clusterversion.Announced)
		assert.Equal(t, other.cluster(), clusterversion.Announced, "a node that does not lead did not read the new version")
		leader.stop()
		other.stop()
	})
}

// Guards against serving a feature while a live node's build does not support it.
func TestSupportsWithOlderLiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		old := startVersionedNode(t, log, "b", clusterversion.Unversioned, false)
		node := startVersionedNode(t, log, "a", clusterversion.Announced, true)
		assert.Assert(t, !node.Supports(clusterversion.Homes), "before the node has read the list of other nodes")
		time.Sleep(agreementTime)
		assert.Assert(t, !node.Supports(clusterversion.Homes))
		old.stop()
		time.Sleep(agreementTime)
		assert.Assert(t, node.Supports(clusterversion.Homes))
		node.stop()
	})
}

// Guards against a node that fails to start during an outage, and against one that keeps running although its build
// is too old.
func TestCheckBuildDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		raise(t, log, clusterversion.Announced+1)
		log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		node := startVersionedNode(t, log, "a", clusterversion.Announced, true)
		assert.NilError(t, node.checkBuild(t.Context()))
		time.Sleep(agreementTime)
		assert.Assert(t, !node.Supports(clusterversion.Homes), "before the log has been read")
		log.SetFault(nil)
		time.Sleep(10 * time.Second)
		var tooOld *clusterversion.TooOldError
		select {
		case err := <-node.tooOld:
			assert.Assert(t, errors.As(err, &tooOld), "%v", err)
		default:
			t.Error("the node keeps running with a build that is too old")
		}
		node.stop()
	})
}

// Guards against a leader that retries and logs every second while the log rejects writes.
func TestFailedRaiseRetryInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		var writes atomic.Int32
		log.SetFault(func(call memlog.Call) memlog.Fault {
			if !call.Append || call.Partition.Topic != versionTopic {
				return memlog.None
			}
			writes.Add(1)
			return memlog.Refused
		})
		leader := startVersionedNode(t, log, "a", clusterversion.Announced, true)
		time.Sleep(agreementTime)
		before := writes.Load()
		time.Sleep(10 * raiseRetry)
		failed := writes.Load() - before
		log.SetFault(nil)
		time.Sleep(2 * raiseRetry)
		assert.Equal(t, leader.cluster(), clusterversion.Announced)
		leader.stop()
		assert.Assert(t, before > 0 && failed > 0 && failed <= 11, "%d attempts", failed)
	})
}

// Guards against periodic reads by every node, which would overload a large cluster's log.
func TestNoVersionReadsAfterAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		leader := startVersionedNode(t, log, "a", clusterversion.Announced, true)
		other := startVersionedNode(t, log, "b", clusterversion.Announced, false)
		time.Sleep(agreementTime)
		assert.Equal(t, other.cluster(), clusterversion.Announced)
		var mu sync.Mutex
		reads := 0
		log.SetFault(func(call memlog.Call) memlog.Fault {
			mu.Lock()
			defer mu.Unlock()
			if call.Partition.Topic == versionTopic {
				reads++
			}
			return memlog.None
		})
		time.Sleep(time.Hour)
		leader.stop()
		other.stop()
		assert.Equal(t, reads, 0)
	})
}

// Guards against records of a later build that stop this one or are logged repeatedly.
func TestUnknownVersionRecordKinds(t *testing.T) {
	log := memlog.New()
	log.Put(versionTopic, "later/1", []byte("x"))
	log.Put(versionTopic, "later/2", []byte("y"))
	log.Put(versionTopic, "raised/9", []byte("not a record"))
	raise(t, log, clusterversion.Homes)
	var logs bytes.Buffer
	node := newClusterVersion(clusterVersionOptions{
		Log: log, Topic: versionTopic, Build: clusterversion.Announced, Logger: zerolog.New(&logs),
	})
	for range 3 {
		assert.NilError(t, node.checkBuild(t.Context()))
	}
	assert.Equal(t, node.state.Cluster(), clusterversion.Homes)
	assert.Equal(t, strings.Count(logs.String(), "records of unknown kind skipped"), 1)
}

func raise(t *testing.T, log *memlog.Log, version clusterversion.Version) {
	t.Helper()
	raised := clusterversion.Raised{Version: version, Holder: "x"}
	value, err := raised.Encode()
	assert.NilError(t, err)
	log.Put(versionTopic, raised.Key(), value)
}
