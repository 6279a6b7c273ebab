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

// entryDecoder is a platform whose entries are the names of their faults, or those of services.
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

// listReader is a node that takes entries of the engine list, under a configuration with the service "s".
func listReader() (n *node, logs *bytes.Buffer) {
	logs = &bytes.Buffer{}
	n = &node{
		platform: entryDecoder{}, fleet: fleet.New(), unusable: make(unusableEntries), state: newState(time.Second),
		topology: topology.NewMap(nil, "z", "r"),
		registry: prometheus.NewRegistry(), logger: zerolog.New(logs),
	}
	n.metrics = newMetrics(n.registry)
	n.engines = follow.New(memlog.New(), "list", n.takeEngine, pacing.Budget{}, zerolog.Nop())
	n.state.setTable(routes.NewTable(routes.Definition{Version: 1, Services: []routes.Service{{Name: "s"}}}))
	return n, logs
}

func (n *node) takeEntry(key, text string) {
	n.takeEngine(eventlog.KeyedRecord{Key: key, Value: []byte(text), Deleted: text == ""})
}

// unusableCount is the number of unusable entries that were counted, whatever their fault.
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

// TestAnUnusableEntryIsToldOfOnceAndCountedAlways: its writer may repeat it every second.
func TestAnUnusableEntryIsToldOfOnceAndCountedAlways(t *testing.T) {
	n, logs := listReader()
	lines := func() int { return strings.Count(logs.String(), "engine entry unusable") }
	for range 5 {
		n.takeEntry("e", "unreadable")
	}
	assert.Equal(t, lines(), 1)
	assert.Equal(t, n.unusableCount(t), 5.0)
	n.takeEntry("e", "missing")
	assert.Equal(t, lines(), 2, "another fault")
	n.takeEntry("e", "s")
	n.takeEntry("e", "missing")
	assert.Equal(t, lines(), 3, "it was in order meanwhile")
	assert.Assert(t, strings.Contains(logs.String(), `"withdrawn":true`))
	n.takeEntry("e", "")
	assert.Equal(t, len(n.unusable), 0, "a key that was deleted is not remembered")
}

// TestAnEngineThatIsGoneIsNamedWithItsStart: as in the lines of the requests that it was sent.
func TestAnEngineThatIsGoneIsNamedWithItsStart(t *testing.T) {
	n, logs := listReader()
	n.fleet.Put(fleet.Engine{ID: "a", Born: 1000, Service: "s"})
	n.takeEntry("a", "")
	assert.Assert(t, strings.Contains(logs.String(), `"engine":"a@1000"`), "%s", logs)
}

// TestAnUnusableEntryWithdrawsItsEngineOnly: the others hold, and a good one puts it back.
func TestAnUnusableEntryWithdrawsItsEngineOnly(t *testing.T) {
	n, _ := listReader()
	n.takeEntry("a", "s")
	n.takeEntry("b", "s")
	n.takeEntry("a", "unreadable")
	_, found := n.fleet.Get("a")
	assert.Assert(t, !found)
	_, found = n.fleet.Get("b")
	assert.Assert(t, found)
	n.takeEntry("a", "s")
	assert.Equal(t, len(n.fleet.Engines("s")), 2)
}

// TestAnEngineOfAnUnknownServiceWaitsForItsConfiguration: list and configuration come on their own.
func TestAnEngineOfAnUnknownServiceWaitsForItsConfiguration(t *testing.T) {
	n, logs := listReader()
	n.takeEntry("a", "later")
	assert.Assert(t, strings.Contains(logs.String(), `"fault":"unknown_service"`))
	assert.Assert(t, !n.knowsEngine(n.state.table()))
	n.state.setTable(routes.NewTable(routes.Definition{Version: 2, Services: []routes.Service{{Name: "later"}}}))
	assert.Assert(t, n.knowsEngine(n.state.table()))
	assert.Equal(t, len(n.fleet.Engines("later")), 1)
}
