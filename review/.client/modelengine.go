package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// modelEngine is a small stand-in for a model engine: it runs items as streams of events and takes orders for a version
// in the modes `wait` and `retain`.
type modelEngine struct {
	deployment *deployment
	id         string
	address    string
	slots      int
	eventTime  time.Duration
	loadTime   time.Duration
	// events returns the number of events of an item.
	events func(id string) int

	mu      sync.Mutex
	version int64
	running map[string]bool
	busy    bool
	orders  int64
	fence   int64
	// begun and finished hold the items that began to run here and those that ran to their end; leftAt is when the last
	// run of an item ended.
	begun    map[string]bool
	finished map[string]bool
	leftAt   map[string]time.Time
	// gone is true once the engine has ended.
	gone   bool
	server *http.Server
}

func serveModelEngine(d *deployment, id string, slots int, version int64, eventTime time.Duration, events func(string) int) (*modelEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &modelEngine{
		deployment: d, id: id, address: listener.Addr().String(), slots: slots, eventTime: eventTime, loadTime: loadTime,
		events: events, version: version, running: make(map[string]bool), begun: make(map[string]bool),
		finished: make(map[string]bool), leftAt: make(map[string]time.Time),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	d.onClose(func() { _ = e.server.Close() })
	e.list(standin.StateReady)
	return e, nil
}

// list writes the engine's entry into the store.
func (e *modelEngine) list(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deployment.store.PutEngineEntry(e.id, e.encode(map[string]any{
		"service": modelService, "address": e.address, "zone": "tumwater", "version": "v1", "slots": e.slots, "state": state,
		"coldLeftMs": 0, "seqNo": e.orders, "stage": "both", "models": e.models(),
	}))
}

// leave says that the engine drains. It serves on for a while, then ends and its entry goes.
func (e *modelEngine) leave(after time.Duration) {
	e.list("draining")
	time.AfterFunc(after, func() {
		e.mu.Lock()
		e.gone = true
		e.mu.Unlock()
		e.deployment.store.UnlistEngine(e.id)
		_ = e.server.Close()
		e.deployment.record.note("engine %s ends", e.id)
	})
}

func (e *modelEngine) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

func (e *modelEngine) encode(fields map[string]any) []byte {
	raw, err := json.Marshal(fields)
	if err != nil {
		panic(err) // plain values always encode
	}
	return raw
}

// models must be called with mu held.
func (e *modelEngine) models() []map[string]any {
	return []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Corkpulley-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Corkpulley-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Corkpulley-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/healthz":
		w.Header().Set("X-Corkpulley-Instance-Id", e.id)
	default:
		e.run(w, r, id)
	}
}

func (e *modelEngine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(e.encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "seqNo": e.orders, "queuedCount": 0,
		"runningCount": len(e.running), "kvUsed": 0, "kvTotal": 52385, "handles": 0,
	}))
}

func (e *modelEngine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version  int64  `json:"version"`
		Mode     string `json:"mode"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expectedRev"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case order.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.version == order.Version:
		status = http.StatusOK
	case e.busy || order.Expected != nil && *order.Expected != e.orders:
		status = http.StatusConflict
	}
	e.deployment.record.note("engine %s got an order for version %d, mode %s, with %d running: %d", e.id, order.Version,
		order.Mode, len(e.running), status)
	if status == http.StatusAccepted {
		e.fence, e.busy = order.Fence, true
		e.orders++
		go e.load(order.Version, order.Mode == "wait")
	}
	w.WriteHeader(status)
}

// load changes the version; with wait, once the running items have finished.
func (e *modelEngine) load(version int64, wait bool) {
	for wait {
		e.mu.Lock()
		idle := len(e.running) == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(e.loadTime)
	e.mu.Lock()
	e.version, e.busy = version, false
	e.mu.Unlock()
	e.deployment.record.note("engine %s has version %d", e.id, version)
	e.list(standin.StateReady)
}

// begin starts a run unless the engine is full or an order is under way.
func (e *modelEngine) begin(id string) (version int64, begun bool, load string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load = fmt.Sprintf("%d,0,%d", len(e.running), e.slots)
	if e.busy || len(e.running) >= e.slots {
		return 0, false, load
	}
	e.running[id], e.begun[id] = true, true
	return e.version, true, load
}

func (e *modelEngine) end(id string, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.leftAt[id] = time.Now()
	e.finished[id] = e.finished[id] || finished
}

func (e *modelEngine) run(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	version, begun, load := e.begin(id)
	w.Header().Set("X-Corkpulley-Server-Load", load)
	if !begun {
		w.Header().Set("X-Corkpulley-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.deployment.record.note("engine %s runs %s after event %d, version %d", e.id, id, after, version)
	finished := false
	defer func() {
		e.end(id, finished)
		e.deployment.record.note("engine %s ended %s, finished %t", e.id, id, finished)
	}()
	w.Header().Set("X-Corkpulley-Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Corkpulley-Weight-Versions", strconv.FormatInt(version, 10))
	controller := http.NewResponseController(w)
	for number := after + 1; number <= e.events(id); number++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventTime):
		}
		e.mu.Lock()
		current := e.version
		e.mu.Unlock()
		if current != version {
			version = current
			_, _ = fmt.Fprintf(w, "x-corkpulley-weight-versions: %d\n", version)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, standin.EventData(id, number)); err != nil || controller.Flush() != nil {
			return
		}
	}
	finished = true
}

// state returns what the engine knows of an item.
func (e *modelEngine) state(id string) (begun, running, finished bool, leftAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[id], e.running[id], e.finished[id], e.leftAt[id]
}

func (e *modelEngine) runningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

func (e *modelEngine) currentVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
