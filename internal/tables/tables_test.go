package tables

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// liveTableCSV returns the CSV of a table of live services with the same cap.
func liveTableCSV(limit int, services ...string) string {
	var rows []policy.Row
	for _, service := range services {
		rows = append(rows, policy.Row{
			Service: service, Kind: policy.KindLive, Pool: "p", Model: "m", Share: 1, Staleness: -1, Cap: limit,
		})
	}
	return policy.FormatCSV(rows)
}

func proposal(id string, base int64, csv string) api.TableProposal {
	return api.TableProposal{ProposalID: id, BaseRevision: base, CSV: csv, Operator: "maeve"}
}

func mustPropose(t *testing.T, node *testNode, id, csv string) int64 {
	t.Helper()
	accepted, err := node.tables.Propose(context.Background(), proposal(id, node.tables.Table().Revision, csv))
	assert.NilError(t, err)
	return accepted.Revision
}

func TestProposeDetectsConflictsInLogOrder(t *testing.T) {
	network, log := newTestNetwork(), newTestLog(t)
	one, two := startNode(t, network, log, "one"), startNode(t, network, log, "two")
	one.awaitCurrent(t)
	ctx := context.Background()

	first, err := one.tables.Propose(ctx, proposal("first", 0, liveTableCSV(1, "a", "b")))
	assert.NilError(t, err)
	assert.Equal(t, first.Revision, int64(1))
	assert.Equal(t, len(first.Changes), 2)
	assert.Equal(t, one.tables.Table().Revision, first.Revision)
	two.awaitRevision(t, first.Revision)

	second, err := two.tables.Propose(ctx, proposal("second", first.Revision, liveTableCSV(2, "a")))
	assert.NilError(t, err)

	// An edit based on the first revision would overwrite the second.
	_, err = one.tables.Propose(ctx, proposal("stale", first.Revision, liveTableCSV(1, "a", "b", "c")))
	requireKind(t, err, errkind.TableConflict)
	var rejected *ProposalError
	assert.Assert(t, errors.As(err, &rejected))
	assert.Equal(t, len(rejected.Conflicts), 2)
	assert.Equal(t, rejected.Conflicts[0].Service, "a")
	assert.DeepEqual(t, rejected.Conflicts[0].Columns, []string{"cap"})

	// A repeated proposal returns the first decision on any node.
	again, err := one.tables.Propose(ctx, proposal("second", first.Revision, liveTableCSV(2, "a")))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, second)
	_, err = one.tables.Propose(ctx, proposal("second", first.Revision, liveTableCSV(3, "a")))
	requireKind(t, err, errkind.InvalidRequest)

	history := one.tables.History(1)
	assert.Equal(t, history[0].Revision, second.Revision)
	assert.Equal(t, history[0].Operator, "maeve")
	earlier, known := one.tables.TableAt(first.Revision)
	assert.Assert(t, known)
	assert.Equal(t, len(earlier.Rows), 2)
}

func TestProposeAppendsNothingWhenInvalidOrUnchanged(t *testing.T) {
	log := newTestLog(t)
	node := startNode(t, newTestNetwork(), log, "one")
	node.awaitCurrent(t)
	ctx := context.Background()

	_, err := node.tables.Propose(ctx, proposal("bad", 0, "service\n"))
	requireKind(t, err, errkind.TableInvalid)
	var rejected *ProposalError
	assert.Assert(t, errors.As(err, &rejected))
	assert.Assert(t, len(rejected.Problems) > 0)
	_, err = node.tables.Propose(ctx, proposal("", 0, liveTableCSV(1, "a")))
	requireKind(t, err, errkind.InvalidRequest)
	_, err = node.tables.Propose(ctx, proposal("ahead", 9, liveTableCSV(1, "a")))
	requireKind(t, err, errkind.InvalidRequest)
	unchanged, err := node.tables.Propose(ctx, proposal("same", 0, liveTableCSV(1)))
	assert.NilError(t, err)
	assert.Equal(t, unchanged.Revision, int64(0))
	assert.Equal(t, node.tables.options.Stream.Applied(), int64(0))
}

func TestProposeAcceptsOneOfConcurrentEdits(t *testing.T) {
	network, log := newTestNetwork(), newTestLog(t)
	log.SetControl(standin.Control{LostResponseShare: 0.5})
	nodes := []*testNode{startNode(t, network, log, "one"), startNode(t, network, log, "two")}
	nodes[0].awaitCurrent(t)
	const operators = 8
	results := make([]error, operators)
	var running sync.WaitGroup
	for i := range operators {
		running.Go(func() {
			edit := proposal(fmt.Sprint(i), 0, liveTableCSV(i+1, "a"))
			_, results[i] = nodes[i%2].tables.Propose(context.Background(), edit)
		})
	}
	running.Wait()
	acceptedCount := 0
	for _, err := range results {
		if err == nil {
			acceptedCount++
			continue
		}
		requireKind(t, err, errkind.TableConflict)
	}
	assert.Equal(t, acceptedCount, 1)
	assert.Equal(t, len(nodes[0].tables.History(operators)), 1)
}

func TestProposeErrorKindsWhileLogFails(t *testing.T) {
	log := newTestLog(t)
	node := startNode(t, newTestNetwork(), log, "one")
	node.awaitCurrent(t)
	shortContext := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}

	log.SetControl(standin.Control{Down: true})
	_, err := node.tables.Propose(shortContext(), proposal("never", 0, liveTableCSV(1, "a")))
	requireKind(t, err, errkind.LogUnavailable)

	// Canceling the call does not withdraw a proposal whose append is in progress.
	log.SetControl(standin.Control{RefuseShare: 1})
	edit := proposal("late", 0, liveTableCSV(1, "a"))
	ctx, cancelPropose := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := node.tables.Propose(ctx, edit)
		result <- err
	}()
	awaitCondition(t, func() bool { return node.tables.isPending("late") })
	cancelPropose()
	requireKind(t, <-result, errkind.OutcomeUnknown)
	log.SetControl(standin.Control{Down: true})
	_, err = node.tables.Propose(shortContext(), edit)
	requireKind(t, err, errkind.OutcomeUnknown)

	log.SetControl(standin.Control{})
	accepted, err := node.tables.Propose(context.Background(), edit)
	assert.NilError(t, err)
	assert.Equal(t, accepted.Revision, int64(1))
	assert.Equal(t, node.tables.options.Stream.Applied(), int64(1))
	awaitCondition(t, func() bool { return !node.tables.isPending("late") })
}

func TestCatchUpFromPeersWhileLogIsDown(t *testing.T) {
	network, log, downLog := newTestNetwork(), newTestLog(t), newTestLog(t)
	downLog.SetControl(standin.Control{Down: true})
	source := startNode(t, network, log, "source")
	source.awaitCurrent(t)
	mustPropose(t, source, "first", liveTableCSV(1, "a", "b"))

	// The late node cannot read the log and catches up from its zone.
	late := startNode(t, network, downLog, "late")
	requireKind(t, late.tables.CheckCurrent(), errkind.NotReady)
	late.awaitCurrent(t)
	assert.DeepEqual(t, late.tables.Table(), source.tables.Table())

	// Later revisions arrive as row changes.
	for i := range 3 {
		revision := mustPropose(t, source, fmt.Sprint(i), liveTableCSV(i+2, "a", "b", "c"))
		late.awaitRevision(t, revision)
		assert.DeepEqual(t, late.tables.Table().Rows, source.tables.Table().Rows)
	}
	_, known := late.tables.TableAt(1)
	assert.Assert(t, known)
}

func TestHandleTableReturnsChangesOrFullTable(t *testing.T) {
	network, log := newTestNetwork(), newTestLog(t)
	node := startNode(t, network, log, "one")
	node.awaitCurrent(t)
	first := mustPropose(t, node, "first", liveTableCSV(1, "a", "b", "c"))
	second := mustPropose(t, node, "second", liveTableCSV(1, "a", "b", "d"))

	fetch := func(revision int64) tableResponse {
		response, err := node.tables.call(context.Background(), "one", revision)
		assert.NilError(t, err)
		assert.Equal(t, response.Revision, second)
		return response
	}
	assert.Equal(t, len(fetch(first).Changes), 2)
	assert.Assert(t, !fetch(first).Full)
	assert.Equal(t, len(fetch(fullTable).Rows), 3)
	assert.Equal(t, len(fetch(second).Changes), 0)
	assert.Assert(t, !fetch(second).Full)
}

func TestFetchFromZoneNeedsReadyPeer(t *testing.T) {
	network, downLog := newTestNetwork(), newTestLog(t)
	downLog.SetControl(standin.Control{Down: true})
	one, two := startNode(t, network, downLog, "one"), startNode(t, network, downLog, "two")
	ctx := context.Background()

	// Both respond, but neither has loaded the latest revision.
	assert.Assert(t, !one.tables.fetchFromZone(ctx))
	two.tables.markCaughtUp("test")
	assert.Assert(t, one.tables.fetchFromZone(ctx))

	// An alive member that does not respond may have a higher revision.
	three := startNode(t, network, downLog, "three")
	network.withLock(func() { three.unreachable = true })
	assert.Assert(t, !one.tables.fetchFromZone(ctx))
	network.withLock(func() { three.member.Zone = "elsewhere" })
	assert.Assert(t, one.tables.fetchFromZone(ctx))

	// No other member of the zone is alive.
	network.withLock(func() { two.member.State = cluster.StateSuspect })
	assert.Assert(t, !one.tables.fetchFromZone(ctx))
}

func TestCurrentNeedsLogContactOrMajority(t *testing.T) {
	network := newTestNetwork()
	node := newNode(t, network, newTestLog(t), "one")
	node.tables.markCaughtUp("test")
	old := time.Now().Add(-2 * MaxLogContactAge)
	for name, test := range map[string]struct {
		ownContact, clusterContact time.Time
		reachable, known           int
		current                    bool
	}{
		"own contact":            {ownContact: time.Now(), clusterContact: old, reachable: 1, known: 9, current: true},
		"another node's contact": {ownContact: old, clusterContact: time.Now(), reachable: 2, known: 9, current: true},
		"majority":               {ownContact: old, clusterContact: old, reachable: 5, known: 9, current: true},
		"exactly half":           {ownContact: old, clusterContact: old, reachable: 4, known: 8},
		"no contact ever":        {reachable: 1, known: 2},
		"minority reached":       {ownContact: old, clusterContact: old, reachable: 2, known: 9},
	} {
		t.Run(name, func(t *testing.T) {
			network.withLock(func() {
				node.contact = test.ownContact
				network.contact, network.reachable, network.known = test.clusterContact, test.reachable, test.known
			})
			err := node.tables.CheckCurrent()
			if test.current {
				assert.NilError(t, err)
				return
			}
			requireKind(t, err, errkind.NotCurrent)
		})
	}
}

func TestProbeLogRefreshesLogContact(t *testing.T) {
	// LastLogContact stays zero, so only a probe can refresh the contact.
	node := startNode(t, newTestNetwork(), newTestLog(t), "one")
	awaitCondition(t, func() bool { return isFresh(node.tables.LogContact()) })
}
