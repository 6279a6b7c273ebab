package hosted

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// entryDecoder is a platform whose entries consist of the name of a fault or of a service.
type entryDecoder struct{ Platform }

func (entryDecoder) DecodeEngine(record eventlog.KeyedRecord) (fleet.Engine, error) {
	text := string(record.Value)
	switch text {
	case Unreadable.String():
		return fleet.Engine{}, &EntryError{Fault: Unreadable}
	case Missing.String():
		return fleet.Engine{}, errors.Wrap(&EntryError{Fault: Missing, Field: "zone"}, "wrapped")
	}
	return fleet.Engine{ID: record.Key, Service: text, Slots: 1}, nil
}

// newEngineListNode returns a node that applies engine list entries, and its log. The configuration defines the
// service "s".
func newEngineListNode() (n *node, logs *bytes.Buffer) {
	logs = &bytes.Buffer{}
	n = &node{
		platform: entryDecoder{}, fleet: fleet.New(), loggedUnusable: make(unusableEntries), state: newState(time.Second),
		topology: topology.NewMap(nil, "z", "r"),
		registry: prometheus.NewRegistry(), logger: zerolog.New(logs),
	}
	n.metrics = newMetrics(n.registry)
	n.engineFollower = follow.New(memlog.New(), "list", n.applyEngineRecord, pacing.Budget{}, zerolog.Nop())
	n.state.setTable(routes.NewTable(routes.Definition{Version: 1, Services: []routes.Service{{Name: "s"}}}))
	return n, logs
}

func (n *node) applyEntry(key, text string) {
	n.applyEngineRecord(eventlog.KeyedRecord{Key: key, Value: []byte(text), Deleted: text == ""})
}

// unusableCount returns the number of unusable entries counted for all faults.
func (n *node) unusableCount(t *testing.T) float64 {
	t.Helper()
	families, err := n.registry.Gather()
	assert.NilError(t, err)
	count := 0.0
	for _, family := range families {
		if family.GetName() != "corkpulley_hosted_engine_entries_unusable_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			count += metric.GetCounter().GetValue()
		}
	}
	return count
}

// Guards against a log line for each repetition of an unusable entry.
func TestRepeatedUnusableEntryIsLoggedOnce(t *testing.T) {
	n, logs := newEngineListNode()
	lines := func() int { return strings.Count(logs.String(), "engine entry unusable") }
	for range 5 {
		n.applyEntry("e", "unreadable")
	}
	assert.Equal(t, lines(), 1)
	assert.Equal(t, n.unusableCount(t), 5.0)
	n.applyEntry("e", "missing")
	assert.Equal(t, lines(), 2, "a different fault is logged again")
	n.applyEntry("e", "s")
	n.applyEntry("e", "missing")
	assert.Equal(t, lines(), 3, "a fault after a usable entry is logged again")
	assert.Assert(t, strings.Contains(logs.String(), `"withdrawn":true`))
	n.applyEntry("e", "")
	assert.Equal(t, len(n.loggedUnusable), 0, "a deleted key is kept")
}

// Guards against a removal that cannot be matched with the log lines of the engine's requests.
func TestRemovedEngineIsLoggedWithIncarnation(t *testing.T) {
	n, logs := newEngineListNode()
	n.fleet.Put(fleet.Engine{ID: "a", StartMillis: 1000, Service: "s"})
	n.applyEntry("a", "")
	assert.Assert(t, strings.Contains(logs.String(), `"engine":"a@1000"`), "%s", logs)
}

// Guards against an unusable entry that affects other engines or is not replaced by a later usable one.
func TestUnusableEntryRemovesItsEngineOnly(t *testing.T) {
	n, _ := newEngineListNode()
	n.applyEntry("a", "s")
	n.applyEntry("b", "s")
	n.applyEntry("a", "unreadable")
	_, found := n.fleet.Get("a")
	assert.Assert(t, !found)
	_, found = n.fleet.Get("b")
	assert.Assert(t, found)
	n.applyEntry("a", "s")
	assert.Equal(t, len(n.fleet.Engines("s")), 2)
}

// The engine list and the configuration arrive independently, so an engine may be listed before its service is
// defined.
func TestEngineListedBeforeItsServiceIsConfigured(t *testing.T) {
	n, logs := newEngineListNode()
	n.applyEntry("a", "later")
	assert.Assert(t, strings.Contains(logs.String(), `"fault":"unknown_service"`))
	assert.Assert(t, !n.hasUsableEngine(n.state.table()))
	n.state.setTable(routes.NewTable(routes.Definition{Version: 2, Services: []routes.Service{{Name: "later"}}}))
	assert.Assert(t, n.hasUsableEngine(n.state.table()))
	assert.Equal(t, len(n.fleet.Engines("later")), 1)
}
