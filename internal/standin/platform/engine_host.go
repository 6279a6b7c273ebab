package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// EngineHost runs an engine at a fixed address and restarts it after each crash, as a supervisor does.
// Each start has a new ID or, if EngineOptions.StartMillis is set, the same ID and a later start time.
type EngineHost struct {
	store   *Store
	address string
	options EngineOptions
	// restartDelay is the time from a crash to the next start, entryTTL the time to the removal of its list entry.
	restartDelay time.Duration
	entryTTL     time.Duration

	mu      sync.Mutex
	engines []*Engine
	server  *http.Server
	closed  bool
	crashes []time.Time
	timers  []*time.Timer
}

// NewEngineHost starts the first engine at the address, which must be free. The options' ID is the prefix of the
// engines' IDs, or the ID of all of them if StartMillis is set.
func NewEngineHost(
	store *Store, address string, options EngineOptions, restartDelay, entryTTL time.Duration,
) (*EngineHost, error) {
	host := &EngineHost{store: store, address: address, options: options, restartDelay: restartDelay, entryTTL: entryTTL}
	host.mu.Lock()
	defer host.mu.Unlock()
	return host, host.start()
}

// start starts the next engine. Must be called with mu held.
func (h *EngineHost) start() error {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return errors.Wrap(err, "listen on the engine's address")
	}
	options := h.nextOptions()
	options.Crash = func(Run) { h.crash() }
	engine := NewEngine(options)
	server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	h.engines, h.server = append(h.engines, engine), server
	go func() { _ = server.Serve(listener) }()
	h.store.ListEngine(engine, h.address, false)
	return nil
}

// nextOptions returns the options of the next start. Must be called with mu held.
func (h *EngineHost) nextOptions() EngineOptions {
	options := h.options
	if options.StartMillis == 0 {
		options.ID = fmt.Sprintf("%s-%d", options.ID, len(h.engines)+1)
		return options
	}
	if len(h.engines) > 0 {
		options.StartMillis = max(time.Now().UnixMilli(), h.engines[len(h.engines)-1].options.StartMillis+1)
	}
	return options
}

// expireEntry removes an engine's list entry unless a later start has rewritten it under the same ID.
func (h *EngineHost) expireEntry(engine *Engine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.engines[len(h.engines)-1]
	if newest == engine || newest.ID() != engine.ID() {
		h.store.UnlistEngine(engine.ID())
	}
}

// crash stops the engine, closes its connections and schedules the restart.
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
	expireEntry := time.AfterFunc(h.entryTTL, func() { h.expireEntry(engine) })
	restart := time.AfterFunc(h.restartDelay, h.restart)
	h.timers = append(h.timers, expireEntry, restart)
}

// restart starts the next engine, and retries while the address is in use.
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

// Engines returns all engines started so far, newest last.
func (h *EngineHost) Engines() []*Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Engine(nil), h.engines...)
}

// Crashes returns the times of the crashes.
func (h *EngineHost) Crashes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.crashes...)
}

// Crash crashes the running engine.
func (h *EngineHost) Crash() { h.crash() }

// Close stops the engine without a restart.
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
