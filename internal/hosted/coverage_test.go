package hosted

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// errUnreadableLoad stands for the error of an engine's load report.
var errUnreadableLoad = errors.New("load is not a number")

// batchAndLiveTable returns a configuration with a batch route to the service "models", and live routes to the given
// services.
func batchAndLiveTable(version int64, liveServices ...string) *routes.Table {
	definition := routes.Definition{
		Version:  version,
		Services: []routes.Service{{Name: "models"}, {Name: "desk"}},
		Routes:   []routes.Route{{Host: "h", Prefix: "/batch/", Kind: routes.Batch, Parts: []routes.Part{{Service: "models"}}}},
	}
	for _, service := range liveServices {
		definition.Routes = append(definition.Routes, routes.Route{
			Host: "h", Prefix: "/" + service + "/", Kind: routes.Safe, Parts: []routes.Part{{Service: service}},
		})
	}
	return routes.NewTable(definition)
}

func TestBatchOnlyServices(t *testing.T) {
	assert.DeepEqual(t, batchAndLiveTable(1, "desk").BatchOnlyServices(), []string{"models"})
	assert.Equal(t, len(batchAndLiveTable(1, "desk", "models").BatchOnlyServices()), 0)
}

// Reads of the log return the records of excluded engines too, unlike reads of a replica. They must be dropped until
// the service is no longer excluded.
func TestExcludedEnginesAreDropped(t *testing.T) {
	n, logs := newEngineListNode()
	n.state.setTable(batchAndLiveTable(2, "desk"))
	n.applyEntry("m1", "models")
	n.applyEntry("d1", "desk")
	assert.Equal(t, len(n.fleet.Services()), 2)
	assert.Assert(t, n.coverage.setExcluded([]string{"models"}))
	assert.Assert(t, !n.coverage.wasExcluded("models"), "the list has not been read again")
	n.applyEntry("m1", "models")
	n.applyEntry("m2", "models")
	assert.DeepEqual(t, n.fleet.Services(), []string{"desk"})
	assert.Assert(t, !strings.Contains(logs.String(), "engine removed"))
	n.coverage.recordRead([]string{"models"})
	assert.Assert(t, n.coverage.wasExcluded("models") && !n.coverage.wasExcluded("desk") && !n.coverage.isComplete())
	assert.Assert(t, n.coverage.setExcluded(nil))
	n.applyEntry("m2", "models")
	assert.Equal(t, len(n.fleet.Engines("models")), 1)
}

// Guards against a burst to a new engine of a service that this node follows, listed while another service is being
// added or excluded.
func TestEngineListedDuringCoverageChangeIsCold(t *testing.T) {
	n, _ := newEngineListNode()
	n.fleet.SetSlowStarts(map[string]routes.SlowStart{
		"desk":   {Period: time.Hour, RatePerSecond: 4},
		"models": {Period: time.Hour, RatePerSecond: 4},
	})
	runTask(t, n.engineFollower.Run)
	testwait.Until(t, "the engine list is read", n.engineFollower.IsLoaded)
	n.coverage.setExcluded([]string{"models"})
	n.coverage.recordRead([]string{"models"})
	n.coverage.setExcluded(nil)
	n.applyEntry("d1", "desk")
	n.applyEntry("m1", "models")
	isCold := func(id string) bool {
		engine, _ := n.fleet.Get(id)
		_, cold := n.fleet.Cold(engine.Incarnation(), time.Now())
		return cold
	}
	assert.Assert(t, isCold("d1"))
	assert.Assert(t, !isCold("m1"), "it may have been listed while it was excluded")
}

// Guards against a replica or leader with a partial engine list.
func TestCoverageIsComplete(t *testing.T) {
	var c coverage
	assert.Assert(t, !c.isComplete(), "nothing has been read")
	c.recordRead(nil)
	assert.Assert(t, c.isComplete())
	c.setExcluded([]string{"models"})
	assert.Assert(t, !c.isComplete(), "changes of the excluded engines are missing from now on")
	c.recordRead([]string{"models"})
	c.setExcluded(nil)
	assert.Assert(t, !c.isComplete(), "the entries of the included engines have not been read")
	c.recordRead(nil)
	assert.Assert(t, c.isComplete())
}

// Guards against unreadable entries that some nodes neither count nor log.
func TestEngineClassOfUnreadableEntry(t *testing.T) {
	n, _ := newEngineListNode()
	assert.Equal(t, n.engineClass(eventlog.KeyedRecord{Key: "a", Value: []byte("s")}), "s")
	assert.Equal(t, n.engineClass(eventlog.KeyedRecord{Key: "a", Value: []byte("unreadable")}), "")
}

// Guards against a log line for each response of an engine with an unreadable load.
func TestUnreadableLoadIsLoggedOncePerEngine(t *testing.T) {
	n, logs := newEngineListNode()
	n.applyEntry("a", "s")
	engine, _ := n.fleet.Get("a")
	for range 3 {
		n.reportUnreadableLoad(engine, errUnreadableLoad)
	}
	assert.Equal(t, strings.Count(logs.String(), "engine load unreadable"), 1)
	n.applyEntry("a", "")
	n.applyEntry("a", "s")
	n.reportUnreadableLoad(engine, errUnreadableLoad)
	assert.Equal(t, strings.Count(logs.String(), "engine load unreadable"), 2, "the engine was removed in between")
}
