package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// EngineHost runs an engine at one address, again and again, as where a supervisor restarts
// a process that crashed: each start is another engine with an ID of its own, or, where the
// options tell when the first one started, the same ID with a later start.
type EngineHost struct {
	store   *Store
	address string
	options EngineOptions
	// downTime is the time from a crash to the next start, lapseTime to when the entry
	// in the list of engines goes.
	downTime  time.Duration
	lapseTime time.Duration

	mu      sync.Mutex
	engines []*Engine
	server  *http.Server
	closed  bool
	crashes []time.Time
	timers  []*time.Timer
}

// NewEngineHost starts the first engine at an address where nobody else listens. The
// options' ID is the prefix of the engines' IDs, or the ID of all where Born is set.
func NewEngineHost(
	store *Store, address string, options EngineOptions, downTime, lapseTime time.Duration,
) (*EngineHost, error) {
	host := &EngineHost{store: store, address: address, options: options, downTime: downTime, lapseTime: lapseTime}
	host.mu.Lock()
	defer host.mu.Unlock()
	return host, host.start()
}

// start begins the next engine; mu is held.
func (h *EngineHost) start() error {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	options := h.nextOptions()
	options.End = func(Run) { h.crash() }
	engine := NewEngine(options)
	server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	h.engines, h.server = append(h.engines, engine), server
	go func() { _ = server.Serve(listener) }()
	h.store.ListEngine(engine, h.address, false)
	return nil
}

// nextOptions are those of the next start; mu is held.
func (h *EngineHost) nextOptions() EngineOptions {
	options := h.options
	if options.Born == 0 {
		options.ID = fmt.Sprintf("%s-%d", options.ID, len(h.engines)+1)
		return options
	}
	if len(h.engines) > 0 {
		options.Born = max(time.Now().UnixMilli(), h.engines[len(h.engines)-1].options.Born+1)
	}
	return options
}

// lapse has an engine's entry go, unless a later start under its ID has written it meanwhile.
func (h *EngineHost) lapse(engine *Engine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.engines[len(h.engines)-1]
	if newest == engine || newest.ID() != engine.ID() {
		h.store.UnlistEngine(engine.ID())
	}
}

// crash ends the engine with all its connections and has another one start.
func (h *EngineHost) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.server == nil {
		return
	}
	h.crashes = append(h.crashes, time.Now())
	engine := h.engines[len(h.engines)-1]
	_ = h.server.Close()
	h.server = nil
	lapse := time.AfterFunc(h.lapseTime, func() { h.lapse(engine) })
	restart := time.AfterFunc(h.downTime, h.restart)
	h.timers = append(h.timers, lapse, restart)
}

// restart begins the next engine, or tries again soon while the address is taken.
func (h *EngineHost) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	if h.start() != nil {
		const retryTime = 20 * time.Millisecond
		h.timers = append(h.timers, time.AfterFunc(retryTime, h.restart))
	}
}

// Engines returns all engines so far, the newest last.
func (h *EngineHost) Engines() []*Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Engine(nil), h.engines...)
}

// Crashes returns when engines crashed here.
func (h *EngineHost) Crashes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.crashes...)
}

// Crash ends the engine whatever it runs.
func (h *EngineHost) Crash() { h.crash() }

// Close ends the engine for good.
func (h *EngineHost) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, timer := range h.timers {
		timer.Stop()
	}
	if h.server != nil {
		_ = h.server.Close()
	}
}
