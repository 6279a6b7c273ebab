package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sendPlain(e *Engine, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, PrefixLookup+id, strings.NewReader("body"))
	request.Header.Set(headerRequestID, id)
	response := httptest.NewRecorder()
	e.ServeHTTP(response, request)
	return response
}

// Guards against an engine that runs more requests than it has slots, or that reports a refused request as executed.
func TestEngineRefusesBeyondSlots(t *testing.T) {
	engine := NewEngine(EngineOptions{ID: "e", Service: ServiceLookup, Slots: 2, PlainTime: 200 * time.Millisecond, ReportsPace: true, Pace: 1.5})
	var running sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		running.Go(func() { assert.Check(t, sendPlain(engine, id).Code == http.StatusOK) })
	}
	for len(engine.Runs()) < 2 {
		time.Sleep(time.Millisecond)
	}
	refused := sendPlain(engine, "c")
	running.Wait()
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header().Get(headerNotExecuted), "1")
	assert.Equal(t, refused.Header().Get(headerLoad), "2,0,2,150")
	assert.Equal(t, len(engine.Runs()), 2)
	assert.Equal(t, sendPlain(engine, "d").Header().Get(headerLoad), "1,0,2,150")
}

// Guards against a pace that has no effect on the time of a response, or only on requests after a change.
func TestEnginePace(t *testing.T) {
	const plainTime = 20 * time.Millisecond
	engine := NewEngine(EngineOptions{ID: "e", Service: ServiceLookup, Slots: 1, PlainTime: plainTime})
	took := func() time.Duration {
		began := time.Now()
		assert.Equal(t, sendPlain(engine, "a").Code, http.StatusOK)
		return time.Since(began)
	}
	assert.Assert(t, took() >= plainTime)
	engine.SetPace(4)
	assert.Assert(t, took() >= 4*plainTime)
}

// Guards against reports of a pace that the options do not ask for: nodes would adjust to it.
func TestEngineLoadWithoutPace(t *testing.T) {
	engine := NewEngine(EngineOptions{ID: "e", Service: ServiceLookup, Slots: 1})
	assert.Equal(t, sendPlain(engine, "a").Header().Get(headerLoad), "1,0,1")
}
