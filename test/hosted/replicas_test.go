package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/replicaset"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// listRemoteNodes lists enough unreachable nodes of another zone for the cluster to use replicas.
func (d *deployment) listRemoteNodes() {
	d.t.Helper()
	var records [][]byte
	for number := range replicaset.MinNodes {
		raw, err := msgpack.Marshal(map[string]any{
			"n": fmt.Sprint("distant", number), "a": "127.0.0.1:9", "z": "distant", "l": time.Hour,
		})
		assert.NilError(d.t, err)
		records = append(records, raw)
	}
	_, err := d.store.Log.Append(d.t.Context(), eventlog.Partition{Topic: "corkpulley.nodes"}, records)
	assert.NilError(d.t, err)
}

// isReplica reports whether the node relays the topics that it reads, by its newest log line about it.
func (n *testNode) isReplica() bool {
	lines := n.logs.String()
	newest := strings.LastIndex(lines, "sources of followed topics changed")
	if newest < 0 {
		return false
	}
	start := strings.LastIndex(lines[:newest], "\n") + 1
	return strings.Contains(lines[start:newest], `"replica":true`)
}

// awaitReplica waits until exactly one node is the replica and returns it and the others.
func awaitReplica(t *testing.T, nodes []*testNode) (replica *testNode, others []*testNode) {
	t.Helper()
	testwait.Until(t, "one replica and its readers", func() bool {
		replica, others = nil, nil
		for _, node := range nodes {
			switch {
			case node.isReplica():
				replica = node
			case strings.Contains(node.logs.String(), "sources of followed topics changed"):
				others = append(others, node)
			}
		}
		return replica != nil && len(others) == len(nodes)-1
	})
	return replica, others
}

// Nodes without an index of their own read and end jobs, report unknown ones as not found and follow configurations.
func TestLargeClusterReadsJobsThroughReplicas(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	d.listRemoteNodes()
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3"), d.start("n4")}
	_, others := awaitReplica(t, nodes)
	ids := itemIDs(20)
	assert.Equal(t, others[0].call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	for _, node := range nodes {
		assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 4)
		assert.Equal(t, node.call(http.MethodGet, "/lots/nobody", "", "").status, http.StatusNotFound)
	}
	assert.Equal(t, others[1].call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	for _, node := range others {
		leads := strings.Contains(node.logs.String(), "leadership gained")
		readsIndex := strings.Contains(node.logs.String(), "index partition reachable")
		assert.Assert(t, leads || !readsIndex, "a node that is neither leader nor replica reads the index")
	}
	d.configure(batchRoute("/batch/"), batchRoute("/later/"))
	for number, node := range nodes {
		id := fmt.Sprint("later", number)
		testwait.Until(t, "the new route at each node", func() bool {
			return node.call(http.MethodPost, "/later/x", id, jobBody(1, "only"+id)).status == http.StatusAccepted
		})
	}
}

// Without its replica, a node must not answer "not found"; configurations still reach it.
func TestJobReadWithoutReplicaIsUnavailable(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	d.listRemoteNodes()
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
	replica, others := awaitReplica(t, nodes)
	assert.Equal(t, others[0].call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a")).status, http.StatusAccepted)
	d.awaitResults(others[0], "job1", 1)
	replica.cancel()
	<-replica.done
	testwait.Until(t, "job reads to fail without the replica", func() bool {
		return others[0].call(http.MethodGet, "/lots/job1", "", "").status == http.StatusServiceUnavailable
	})
	d.configure(batchRoute("/batch/"), batchRoute("/later/"))
	testwait.Until(t, "the new route", func() bool {
		return others[0].call(http.MethodPost, "/later/x", "job2", jobBody(1, "b")).status == http.StatusAccepted
	})
}

// excludesModelEngines reports whether the node follows the engine list without the engines of batch items,
// by its newest log line about it.
func (n *testNode) excludesModelEngines() bool {
	lines := n.logs.String()
	newest := strings.LastIndex(lines, "engine list loaded")
	if newest < 0 {
		return false
	}
	start := strings.LastIndex(lines[:newest], "\n") + 1
	return strings.Contains(lines[start:newest], `"left_out":["llm"]`)
}

// Nodes that exclude engines still serve live requests, and follow those engines once a route of live requests uses
// them.
func TestLargeClusterNodesExcludeUnusedEngines(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "desk1", Service: "desk"})
	modelEngine := d.addModelEngine("e1", 1, 4, 0)
	d.configure(safeRoute("/lookup/"), batchRoute("/batch/"))
	d.listRemoteNodes()
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3"), d.start("n4")}
	replica, others := awaitReplica(t, nodes)
	for number, node := range others {
		testwait.Until(t, "the node to exclude the engines of batch items", node.excludesModelEngines)
		assert.Equal(t, node.call(http.MethodGet, "/lookup/x", fmt.Sprint("live", number), "").status, http.StatusOK)
	}
	assert.Assert(t, !replica.excludesModelEngines())
	ids := itemIDs(20)
	assert.Equal(t, others[0].call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(others[1], "job1", len(ids)), ids, 4)
	d.listEngine(modelEngine)
	live := safeRoute("/lookup/")
	live["service"] = "llm"
	d.configure(live, batchRoute("/batch/"))
	for number, node := range others {
		testwait.Until(t, "a response of an engine that was excluded", func() bool {
			id := fmt.Sprint("moved", number)
			return !node.excludesModelEngines() && node.call(http.MethodPost, "/lookup/x", id, "x").status == http.StatusOK
		})
	}
}
