package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// orderArrival is an order as it arrived at an engine.
type orderArrival struct {
	at      time.Time
	machine string
	fence   int64
	version int64
	model   string
	// unanswered is true if the engine gave no answer and carried the order out later.
	unanswered bool
}

// orderedEngine serves an engine of the project's stand-in. Part of the orders gets no answer and is carried out 2 to
// 12 s later, with its condition checked then.
type orderedEngine struct {
	*standin.Engine
	record *record

	mu sync.Mutex
	// lateShare is the share of orders that is carried out late.
	lateShare float64
	arrivals  []orderArrival
}

// serveOrderedEngine starts an engine at a free address and lists it.
func serveOrderedEngine(d *deployment, options standin.EngineOptions) (*orderedEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &orderedEngine{Engine: standin.NewEngine(options), record: d.record}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.onClose(func() { _ = server.Close() })
	d.store.ListEngine(e.Engine, listener.Addr().String(), false)
	return e, nil
}

func (e *orderedEngine) setLateShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateShare = share
}

// ServeHTTP implements http.Handler.
func (e *orderedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/order" {
		e.Engine.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !e.arrived(body) {
		e.Engine.ServeHTTP(w, r)
		return
	}
	late := httptest.NewRequest(http.MethodPost, "/order", bytes.NewReader(body))
	late.Header = r.Header.Clone()
	time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
		e.Engine.ServeHTTP(httptest.NewRecorder(), late)
	})
	<-r.Context().Done()
}

// arrived records an order and reports whether it is carried out late.
func (e *orderedEngine) arrived(body []byte) bool {
	var order struct {
		Holder  string `json:"holder"`
		Fence   int64  `json:"fence"`
		Version int64  `json:"version"`
		Model   string `json:"model"`
	}
	_ = json.Unmarshal(body, &order)
	machine := order.Holder
	if end := strings.LastIndexByte(machine, '-'); end >= 0 {
		machine = machine[:end]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	late := rand.Float64() < e.lateShare
	e.arrivals = append(e.arrivals, orderArrival{time.Now(), machine, order.Fence, order.Version, order.Model, late})
	e.record.note("engine %s got an order of %s: version %d of %s, fence %d, unanswered %t", e.ID(), machine,
		order.Version, order.Model, order.Fence, late)
	return late
}

func (e *orderedEngine) orders() []orderArrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}
