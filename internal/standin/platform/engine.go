package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Headers of the engines.
const (
	headerRequestID   = "X-Corkpulley-Attempt-Id"
	headerExpect      = "X-Corkpulley-Expect-Instance"
	headerInstance    = "X-Corkpulley-Instance-Id"
	headerNotExecuted = "X-Corkpulley-Not-Executed"
	headerStamp       = "X-Corkpulley-Server-Stamp"
	headerLoad        = "X-Corkpulley-Server-Load"
	headerVersions    = "X-Corkpulley-Weight-Versions"
	headerModel       = "X-Corkpulley-Model"
	headerLastEvent   = "Last-Event-Id"
	headerColdMs      = "X-Corkpulley-Cold-Ms"
	headerTenant      = "X-Corkpulley-Tenant"
	headerCredentials = "Authorization"
)

// EngineFault is what happens to a request at an engine.
type EngineFault uint8

// The faults of engines.
const (
	// Works: no fault.
	Works EngineFault = iota
	// Full: the engine refuses the request as not run.
	Full
	// Fails: the run ends with 500.
	Fails
	// Impossible: the request can never be run.
	Impossible
	// CutOff: the answer ends early.
	CutOff
	// Silent: the engine runs the request and never answers.
	Silent
	// AnswerLost: the engine runs the request and closes the connection.
	AnswerLost
	// Surplus: a second answer follows the first on the connection.
	Surplus
	// Foreign: the answer bears the ID of another request.
	Foreign
)

// Run is one request that an engine has begun.
type Run struct {
	ID    string
	Path  string
	Query string
	Body  string
	After int64
	Host  string
	At    time.Time
	// Tenant is the tenant that the engine was told, Credentials what it was shown of
	// the client's.
	Tenant      string
	Credentials string
}

// OrderSeen is one order as the engine received it.
type OrderSeen struct {
	Holder  string
	Fence   int64
	Version int64
	At      time.Time
	// From is the address that the order came from, without the port.
	From string
	// Expected is how many orders the sender believed the engine to have taken, noCount
	// where it does not say; Taken is how many it had.
	Expected int64
	Taken    int64
	// Status is the engine's answer.
	Status int
}

// EngineOptions describe an engine.
type EngineOptions struct {
	ID string
	// Born is when the engine started, in milliseconds since 1970; zero where it does not tell.
	Born    int64
	Service string
	Zone    string
	Slots   int
	// Versions holds the weight version of each model; an engine without models
	// gives plain answers.
	Versions map[string]int64
	// Events is the number of events of an item, EventTime the time for each.
	Events    func(id string) int
	EventTime time.Duration
	// Data makes the data of an event; EventData without the version when nil.
	Data func(id string, number int, version int64) string
	// LoadTime is how long a change of weights takes.
	LoadTime time.Duration
	// EndsUnder tells which runs end the engine's process, EventsBeforeEnd how many
	// events of a stream it makes before. End ends the process. See EngineHost.
	EndsUnder       func(run Run) bool
	EventsBeforeEnd int
	End             func(run Run)
	// ColdFor is how long after its start the engine's entry says that it is cold.
	ColdFor time.Duration
	// CheckFences refuses orders with lower fencing tokens than one seen.
	CheckFences bool
}

// Engine is a model engine. It is an http.Handler.
type Engine struct {
	options EngineOptions
	router  *mux.Router

	mu       sync.Mutex
	versions map[string]int64
	fault    func(id string) EngineFault
	runs     []Run
	running  int
	busy     bool
	orders   int64
	fence    int64
	seen     []OrderSeen
	arrivals []Arrival
	// coldUntil is when it is warm.
	coldUntil time.Time
}

// NewEngine returns an engine.
func NewEngine(options EngineOptions) *Engine {
	if options.Data == nil {
		options.Data = func(id string, number int, _ int64) string { return EventData(id, number) }
	}
	e := &Engine{
		options: options, versions: maps.Clone(options.Versions), router: mux.NewRouter().SkipClean(true),
		coldUntil: time.Now().Add(options.ColdFor),
	}
	e.router.HandleFunc("/report", e.report).Methods(http.MethodGet)
	e.router.HandleFunc("/order", e.order).Methods(http.MethodPost)
	e.router.HandleFunc("/healthz", e.health).Methods(http.MethodGet)
	e.router.NotFoundHandler = http.HandlerFunc(e.serve)
	e.router.MethodNotAllowedHandler = http.HandlerFunc(e.serve)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headerExpect); expected != "" && expected != e.options.ID {
		w.Header().Set(headerInstance, e.options.ID)
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.router.ServeHTTP(w, r)
}

// SetFault sets what decides the fate of each request; nil for no faults.
func (e *Engine) SetFault(fault func(id string) EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// Runs returns the requests that the engine has begun.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the engine's version of a model.
func (e *Engine) Version(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// Holders returns who has ordered the engine, in the order of the orders taken.
func (e *Engine) Holders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var holders []string
	for _, order := range e.seen {
		if order.Status == http.StatusAccepted {
			holders = append(holders, order.Holder)
		}
	}
	return holders
}

// Orders returns all orders that the engine received and could read.
func (e *Engine) Orders() []OrderSeen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderSeen(nil), e.seen...)
}

// ID returns the engine's own ID, which a later start of it may have again.
func (e *Engine) ID() string { return e.options.ID }

// Service returns the name of the engine's service.
func (e *Engine) Service() string { return e.options.Service }

// Entry is the engine's record in the list of engines.
func (e *Engine) Entry(address, state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw, err := json.Marshal(e.withBorn(map[string]any{
		"service": e.options.Service, "address": address, "zone": e.options.Zone, "version": "v1",
		"slots": e.options.Slots, "state": state, "coldLeftMs": e.coldLeft().Milliseconds(), "models": e.modelList(),
		"seqNo": e.orders,
	}))
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	return raw
}

// withBorn adds when the engine started to what it says of itself.
func (e *Engine) withBorn(said map[string]any) map[string]any {
	if e.options.Born != 0 {
		said["born"] = e.options.Born
	}
	return said
}

// modelList is the wire form of the versions; mu is held.
func (e *Engine) modelList() []map[string]any {
	list := []map[string]any{}
	for name, version := range e.versions {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

// endsUnder tells whether the engine's process ends under a run.
func (e *Engine) endsUnder(run Run) bool {
	return e.options.EndsUnder != nil && e.options.EndsUnder(run)
}

func (e *Engine) begin(r *http.Request, body string) (Run, EngineFault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := Works
	id := r.Header.Get(headerRequestID)
	if e.fault != nil {
		fault = e.fault(id)
	}
	if fault == Full || e.running >= e.options.Slots {
		return Run{}, Full, false
	}
	after, _ := strconv.ParseInt(r.Header.Get(headerLastEvent), 10, 64)
	e.running++
	run := Run{
		ID: id, Path: r.URL.Path, Query: r.URL.RawQuery, Body: body, After: after, Host: r.Host, At: time.Now(),
		Tenant: r.Header.Get(headerTenant), Credentials: r.Header.Get(headerCredentials),
	}
	e.runs = append(e.runs, run)
	return run, fault, true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
