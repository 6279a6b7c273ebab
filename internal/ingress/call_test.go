package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
)

// noCrashes is a guard that admits all requests and reports no crashes.
type noCrashes struct{}

func (noCrashes) Admit(context.Context, func() quarantine.Fingerprint) *errkind.Error { return nil }

func (noCrashes) ConnectionLost(context.Context, crashes.LostConnection) bool { return false }

func (noCrashes) Status(func() quarantine.Fingerprint) quarantine.Status {
	return quarantine.Status{}
}

func (noCrashes) Answered(func() quarantine.Fingerprint) {}

// scriptedEngines holds the answer of each engine by ID. An engine with a zero answer loses the connection.
type scriptedEngines map[string]Answer

func (e scriptedEngines) Send(_ context.Context, engine fleet.Engine, _ Call) (*Answer, error) {
	answer := e[engine.ID]
	if answer.Status == 0 {
		return nil, &SendError{MayHaveRun: true, ConnectionLost: true, Cause: io.EOF}
	}
	answer.Header = http.Header{}
	answer.Body = io.NopCloser(strings.NewReader("body"))
	return &answer, nil
}

func callRelay(engines scriptedEngines, path string) (Reply, *errkind.Error) {
	return callPath(newRelay(engines, noCrashes{}, 2), path)
}

// newRelay returns a relay with one service that has the given engines.
func newRelay(engines scriptedEngines, guard Guard, maxAttempts int) *Relay {
	engineFleet := fleet.New()
	for id := range engines {
		engineFleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 1})
	}
	table := routes.NewTable(routes.Definition{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/x/", Kind: routes.Safe, Parts: []routes.Part{{Service: "s", Weight: 1}},
		Timeout: time.Second, MaxAttempts: maxAttempts,
	}}})
	return New(Options{
		Engines: engines, Fleet: engineFleet, Guard: noCrashes{}, ExemptGuard: guard, Table: func() *routes.Table { return table }, Current: func() bool { return true },
		OnStart: func(string, time.Time) {},
		Logger:  zerolog.Nop(), Observe: func(string, string, time.Duration) {},
	})
}

func callPath(relay *Relay, path string) (Reply, *errkind.Error) {
	return relay.Call(context.Background(), &Request{
		ID: "id", Method: http.MethodPost, Target: path, Path: path, Host: "h", Received: time.Now(),
	})
}

func TestCallReturnsStampOfCompleteAnswer(t *testing.T) {
	reply, failure := callRelay(scriptedEngines{"a": {Status: http.StatusOK, Stamp: "stamp"}}, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply, Reply{Status: http.StatusOK, Stamp: "stamp", MaxAttempts: 2})
}

func TestCallCountsServerErrors(t *testing.T) {
	reply, failure := callRelay(scriptedEngines{
		"a": {Status: http.StatusInternalServerError}, "b": {Status: http.StatusInternalServerError},
	}, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusInternalServerError)
	assert.Equal(t, reply.ServerErrors, 2)
}

func TestRefusalIsNotCountedAsServerError(t *testing.T) {
	reply, failure := callRelay(scriptedEngines{"a": {Status: http.StatusServiceUnavailable, NotExecuted: true}}, "/x/1")
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.Equal(t, reply.ServerErrors, 0)
}

func TestCallWithoutRouteFails(t *testing.T) {
	_, failure := callRelay(scriptedEngines{"a": {Status: http.StatusOK}}, "/y/1")
	assert.Equal(t, failure.Kind, errkind.UnknownService)
}

// TestDeadlineIncludesSuspension: the machine is suspended after it received the request, for longer than the timeout.
func TestDeadlineIncludesSuspension(t *testing.T) {
	relay := newRelay(scriptedEngines{"a": {Status: http.StatusOK, Stamp: "stamp"}}, noCrashes{}, 2)
	suspended := time.Duration(0)
	relay.now = func() time.Time {
		now := boottime.Now().Add(suspended)
		suspended = 2 * time.Second
		return now
	}
	_, failure := callPath(relay, "/x/1")
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
}

// countingGuard counts lost connections as crashes of one request, and successful answers.
type countingGuard struct {
	noCrashes
	crashes  int
	answered int
}

func (g *countingGuard) Answered(func() quarantine.Fingerprint) { g.answered++ }

func (g *countingGuard) ConnectionLost(context.Context, crashes.LostConnection) bool {
	g.crashes++
	return true
}

func (g *countingGuard) Status(func() quarantine.Fingerprint) quarantine.Status {
	return quarantine.Status{Crashes: g.crashes}
}

// TestRequestStopsAtCrashLimit checks that the crash limit applies even if the route allows more attempts.
func TestRequestStopsAtCrashLimit(t *testing.T) {
	guard := &countingGuard{}
	_, failure := callPath(newRelay(scriptedEngines{"a": {}, "b": {}, "c": {}, "d": {}}, guard, 4), "/x/1")
	assert.Equal(t, failure.Kind, errkind.EngineFailed)
	assert.Equal(t, guard.crashes, quarantine.RequestLimit)
}

// TestQuarantinedRequestReachesNoEngine checks that the request is refused as not executed.
func TestQuarantinedRequestReachesNoEngine(t *testing.T) {
	guard := &refusingGuard{}
	_, failure := callPath(newRelay(scriptedEngines{"a": {}}, guard, 2), "/x/1")
	assert.Equal(t, failure.Kind, errkind.Quarantined)
	assert.Equal(t, failure.Kind.Response().Execution, errkind.NotExecuted)
	assert.Equal(t, guard.crashes, 0)
}

// refusingGuard admits no request.
type refusingGuard struct{ countingGuard }

func (*refusingGuard) Admit(context.Context, func() quarantine.Fingerprint) *errkind.Error {
	return errkind.New(errkind.Quarantined, "the request is quarantined")
}

// TestOnlySuccessClearsRequest: an engine may fail a request that it has not started, for example at its deadline.
func TestOnlySuccessClearsRequest(t *testing.T) {
	for status, cleared := range map[int]int{
		http.StatusOK: 1, http.StatusBadRequest: 0, http.StatusInternalServerError: 0, http.StatusGatewayTimeout: 0,
	} {
		guard := &countingGuard{}
		reply, failure := callPath(newRelay(scriptedEngines{"a": {Status: status, Stamp: "stamp"}}, guard, 1), "/x/1")
		assert.Assert(t, failure == nil)
		assert.Equal(t, reply.Status, status)
		assert.Equal(t, guard.answered, cleared, "status %d", status)
	}
}
