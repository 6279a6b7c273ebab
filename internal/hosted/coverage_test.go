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

// errStandIn stands in for whatever is wrong with a load.
var errStandIn = errors.New("no number")

// batchAndLive is a configuration whose service "models" runs batch items only.
func batchAndLive(version int64, liveServices ...string) *routes.Table {
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

func TestServicesOfBatchRoutesAloneAreLeftOut(t *testing.T) {
	assert.DeepEqual(t, batchAndLive(1, "desk").BatchOnly(), []string{"models"})
	assert.Equal(t, len(batchAndLive(1, "desk", "models").BatchOnly()), 0)
}

// TestEnginesThatAreLeftOutAreNotKept: the log itself tells them all the same. Once they are needed they come back.
func TestEnginesThatAreLeftOutAreNotKept(t *testing.T) {
	n, logs := listReader()
	n.state.setTable(batchAndLive(2, "desk"))
	n.takeEntry("m1", "models")
	n.takeEntry("d1", "desk")
	assert.Equal(t, len(n.fleet.Services()), 2)
	assert.Assert(t, n.coverage.change([]string{"models"}))
	assert.Assert(t, !n.coverage.wasLeftOut("models"), "the list was not read again yet")
	n.takeEntry("m1", "models")
	n.takeEntry("m2", "models")
	assert.DeepEqual(t, n.fleet.Services(), []string{"desk"})
	assert.Assert(t, !strings.Contains(logs.String(), "engine gone"))
	n.coverage.read([]string{"models"})
	assert.Assert(t, n.coverage.wasLeftOut("models") && !n.coverage.wasLeftOut("desk") && !n.coverage.isWhole())
	assert.Assert(t, n.coverage.change(nil))
	n.takeEntry("m2", "models")
	assert.Equal(t, len(n.fleet.Engines("models")), 1)
}

// TestAnEngineThatIsListedWhileTheCoverageChangesCountsAsCold guards against a burst to an engine of a service that
// this node followed all the time, where it was listed while another service was being added or left out.
func TestAnEngineThatIsListedWhileTheCoverageChangesCountsAsCold(t *testing.T) {
	n, _ := listReader()
	n.fleet.SetSlowStarts(map[string]routes.SlowStart{
		"desk":   {Period: time.Hour, RatePerSecond: 4},
		"models": {Period: time.Hour, RatePerSecond: 4},
	})
	runRole(t, n.engines.Run)
	testwait.Until(t, "the list is read", n.engines.IsLoaded)
	n.coverage.change([]string{"models"})
	n.coverage.read([]string{"models"})
	n.coverage.change(nil)
	n.takeEntry("d1", "desk")
	n.takeEntry("m1", "models")
	isCold := func(id string) bool {
		engine, _ := n.fleet.Get(id)
		_, cold := n.fleet.Cold(engine.Incarnation(), time.Now())
		return cold
	}
	assert.Assert(t, isCold("d1"))
	assert.Assert(t, !isCold("m1"), "it may have been there all the time, left out")
}

// TestOnlyWhoHoldsTheWholeListHandsItOn and may lead by it.
func TestOnlyWhoHoldsTheWholeListHandsItOn(t *testing.T) {
	var held coverage
	assert.Assert(t, !held.isWhole(), "nothing was read yet")
	held.read(nil)
	assert.Assert(t, held.isWhole())
	held.change([]string{"models"})
	assert.Assert(t, !held.isWhole(), "changes of these engines are missing from now on")
	held.read([]string{"models"})
	held.change(nil)
	assert.Assert(t, !held.isWhole(), "their entries were not read yet")
	held.read(nil)
	assert.Assert(t, held.isWhole())
}

// TestAnEntryThatCannotBeReadIsForAllReaders: each counts and tells it.
func TestAnEntryThatCannotBeReadIsForAllReaders(t *testing.T) {
	n, _ := listReader()
	assert.Equal(t, n.engineClass(eventlog.KeyedRecord{Key: "a", Value: []byte("s")}), "s")
	assert.Equal(t, n.engineClass(eventlog.KeyedRecord{Key: "a", Value: []byte("unreadable")}), "")
}

// TestAnEngineThatTellsNoReadableLoadIsToldOfOnce: it may answer many times a second.
func TestAnEngineThatTellsNoReadableLoadIsToldOfOnce(t *testing.T) {
	n, logs := listReader()
	n.takeEntry("a", "s")
	engine, _ := n.fleet.Get("a")
	for range 3 {
		n.loadUnreadable(engine, errStandIn)
	}
	assert.Equal(t, strings.Count(logs.String(), "engine load unreadable"), 1)
	n.takeEntry("a", "")
	n.takeEntry("a", "s")
	n.loadUnreadable(engine, errStandIn)
	assert.Equal(t, strings.Count(logs.String(), "engine load unreadable"), 2, "it was gone meanwhile")
}
