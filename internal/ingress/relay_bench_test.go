package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// instantEngines answers without delay.
type instantEngines struct{ answer string }

func (e *instantEngines) Send(context.Context, fleet.Engine, Call) (*Answer, error) {
	return &Answer{
		Status: http.StatusOK, Header: http.Header{"X-Stamp": {"s"}},
		Body: io.NopCloser(strings.NewReader(e.answer)),
	}, nil
}

// BenchmarkRelay relays an answer of 800 bytes without network connections.
func BenchmarkRelay(b *testing.B) {
	engines := fleet.New()
	for _, id := range []string{"a", "b", "c"} {
		engines.Put(fleet.Engine{ID: id, Service: "s", Zone: "z", Slots: 6})
	}
	table := routes.NewTable(routes.Definition{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: routes.Safe, Parts: []routes.Part{{Service: "s", Weight: 1}},
		Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2,
	}}})
	relay := New(Options{
		Engines: &instantEngines{answer: strings.Repeat("x", 800)}, Fleet: engines, Guard: noCrashes{}, ExemptGuard: noCrashes{}, Zone: "z",
		Table: func() *routes.Table { return table }, Current: func() bool { return true },
		OnStart: func(string, time.Time) {},
		Logger:  zerolog.New(io.Discard), Observe: func(string, string, time.Duration) {},
	})
	b.ReportAllocs()
	for b.Loop() {
		request := &Request{ID: "id", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h", Received: time.Now()}
		recorder := httptest.NewRecorder()
		if failure := relay.Serve(recorder, context.Background(), request); failure != nil {
			b.Fatal(failure)
		}
	}
}
