package hosted

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// logPlatform is a platform with an in-memory log and without callers.
type logPlatform struct {
	entryDecoder
	log *memlog.Log
}

func (p logPlatform) Log() eventlog.Log { return p.log }

func (logPlatform) Engines() Engines { return nil }

func (logPlatform) ControlTopic() string { return "control" }

func (logPlatform) EngineTopic() string { return "engines" }

func (logPlatform) CrashTopic() string { return "crashes" }

func (logPlatform) VersionTopic() string { return "version" }

func (logPlatform) CallersHandler(CallerService) http.Handler { return http.NotFoundHandler() }

func (logPlatform) RequestIDHeader() string { return "" }

func (logPlatform) OperatorsHandler(func() error, http.Handler) http.Handler {
	return http.NotFoundHandler()
}

// newResumedNode returns a node that has just resumed from a suspension and has read nothing since.
func newResumedNode(t *testing.T) *node {
	t.Helper()
	config := settings.Default()
	config.Node.ID = "n"
	config.Listen.Callers, config.Listen.Operators, config.Listen.Peers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	registry := prometheus.NewRegistry()
	n, err := newNode(t.Context(), config, logPlatform{log: memlog.New()}, registry, newMetrics(registry), zerolog.Nop())
	assert.NilError(t, err)
	for _, each := range []*boundedhttp.Server{n.callers, n.operators, n.peers} {
		t.Cleanup(func() { _ = each.Close() })
	}
	resumed := boottime.Now()
	n.resumeGuard.resumedAt = func() time.Time { return resumed }
	n.resumeGuard.now = func() time.Time { return resumed }
	return n
}

// runTask runs a background task of the node until the test ends.
func runTask(t *testing.T, task func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = task(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// Guards against a burst to an engine that turned cold during the suspension, after the control topic has been read
// and before the engine list has.
func TestGateClosedUntilEngineListIsRead(t *testing.T) {
	n := newResumedNode(t)
	runTask(t, n.controlFollower.Run)
	testwait.Until(t, "the control topic is read", n.controlFollower.IsLoaded)
	assert.Assert(t, !n.gate.EnginesKnown(), "the gate is open with the engine list from before the suspension")
	runTask(t, n.engineFollower.Run)
	testwait.Until(t, "the gate opens", n.gate.EnginesKnown)
}

// Guards against sending before the evacuations have been read again.
func TestGateClosedUntilControlTopicIsRead(t *testing.T) {
	n := newResumedNode(t)
	runTask(t, n.engineFollower.Run)
	testwait.Until(t, "the engine list is read", n.engineFollower.IsLoaded)
	assert.Assert(t, !n.gate.EnginesKnown())
	runTask(t, n.controlFollower.Run)
	testwait.Until(t, "the gate opens", n.gate.EnginesKnown)
}
