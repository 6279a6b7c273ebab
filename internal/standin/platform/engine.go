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

// Headers of the engine protocol.
const (
	headerRequestID        = "X-Corkpulley-Attempt-Id"
	headerExpectedInstance = "X-Corkpulley-Expect-Instance"
	headerInstance         = "X-Corkpulley-Instance-Id"
	headerNotExecuted      = "X-Corkpulley-Not-Executed"
	headerStamp            = "X-Corkpulley-Server-Stamp"
	headerLoad             = "X-Corkpulley-Server-Load"
	headerVersions         = "X-Corkpulley-Weight-Versions"
	headerModel            = "X-Corkpulley-Model"
	headerLastEvent        = "Last-Event-Id"
	headerColdMs           = "X-Corkpulley-Cold-Ms"
	headerTenant           = "X-Corkpulley-Tenant"
	headerCredentials      = "Authorization"
)

// EngineFault is the fault that an engine injects into a request.
type EngineFault uint8

const (
	// NoFault injects no fault.
	NoFault EngineFault = iota
	// RefusesFull refuses the request for lack of slots, marked as not executed.
	RefusesFull
	// RespondsError responds with 500.
	RespondsError
	// RespondsUnprocessable responds that the request can never be executed.
	RespondsUnprocessable
	// TruncatesResponse truncates the response.
	TruncatesResponse
	// NeverResponds executes the request and never responds.
	NeverResponds
	// DropsResponse executes the request and closes the connection.
	DropsResponse
	// DuplicatesResponse sends a second response on the connection.
	DuplicatesResponse
	// RespondsWrongID responds with the ID of another request.
	RespondsWrongID
)

// Run is a request that an engine started to execute.
type Run struct {
	ID    string
	Path  string
	Query string
	Body  string
	// LastEventID is the ID of the last event that the sender already has, from the Last-Event-Id header; 0 for none.
	LastEventID int64
	Host        string
	At          time.Time
	// Tenant and Credentials are the tenant and the client's Authorization header as forwarded to the engine.
	Tenant      string
	Credentials string
	// Fault is the fault that the engine injected.
	Fault EngineFault
	// EndedAt is zero while it runs. Whole is set if the response was written to its end.
	EndedAt time.Time
	Whole   bool
}

// ReceivedOrder is an order to change a weight version, as received by the engine.
type ReceivedOrder struct {
	Holder  string
	Fence   int64
	Version int64
	At      time.Time
	// From is the sender's IP address.
	From string
	// ExpectedCount is the number of accepted orders that the sender assumed, or countUnknown if it stated none.
	// AcceptedCount is the number of orders that the engine had accepted by then.
	ExpectedCount int64
	AcceptedCount int64
	// Status is the response status.
	Status int
}

// EngineOptions configures an engine.
type EngineOptions struct {
	ID string
	// StartMillis is the start time in Unix milliseconds; zero leaves it out of entries and reports.
	StartMillis int64
	Service     string
	Zone        string
	Slots       int
	// Versions is the weight version of each model. An engine without models sends plain responses.
	Versions map[string]int64
	// Events returns the number of events of an item; EventTime is the time for each.
	Events    func(id string) int
	EventTime time.Duration
	// PlainTime is the time to produce a plain response. It and EventTime are multiplied by Pace, which SetPace changes;
	// zero means 1.
	PlainTime time.Duration
	Pace      float64
	// ReportsPace adds the pace, in percent, to the load in each response.
	ReportsPace bool
	// Data returns the data of an event. Defaults to EventData, which ignores the version.
	Data func(id string, number int, version int64) string
	// LoadTime is the duration of a weight change.
	LoadTime time.Duration
	// CrashesOn reports whether a run crashes the engine, EventsBeforeCrash is the number of events that its
	// stream sends first, and Crash performs the crash. See EngineHost.
	CrashesOn         func(run Run) bool
	EventsBeforeCrash int
	Crash             func(run Run)
	// ColdFor is how long after its start the engine reports that it is cold.
	ColdFor time.Duration
	// CheckFences rejects orders whose fencing token is lower than that of an accepted one.
	CheckFences bool
}

// Engine simulates a model engine. It is an http.Handler.
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
	received []ReceivedOrder
	arrivals []Arrival
	// coldUntil is the time until which the engine reports that it is cold.
	coldUntil time.Time
	pace      float64
}

// NewEngine returns an engine that is not listed in a store yet.
func NewEngine(options EngineOptions) *Engine {
	if options.Data == nil {
		options.Data = func(id string, number int, _ int64) string { return EventData(id, number) }
	}
	if options.Pace == 0 {
		options.Pace = 1
	}
	e := &Engine{
		options: options, versions: maps.Clone(options.Versions), router: mux.NewRouter().SkipClean(true),
		coldUntil: time.Now().Add(options.ColdFor), pace: options.Pace,
	}
	e.router.HandleFunc("/report", e.handleReport).Methods(http.MethodGet)
	e.router.HandleFunc("/order", e.handleOrder).Methods(http.MethodPost)
	e.router.HandleFunc("/healthz", e.handleHealth).Methods(http.MethodGet)
	e.router.NotFoundHandler = http.HandlerFunc(e.handleRequest)
	e.router.MethodNotAllowedHandler = http.HandlerFunc(e.handleRequest)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headerExpectedInstance); expected != "" && expected != e.options.ID {
		w.Header().Set(headerInstance, e.options.ID)
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.router.ServeHTTP(w, r)
}

// SetFault sets the function that selects the fault of each request; nil for no faults.
func (e *Engine) SetFault(fault func(id string) EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// Runs returns the requests that the engine started to execute.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the engine's weight version of a model.
func (e *Engine) Version(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// OrderHolders returns the holder of each accepted order, in order of arrival.
func (e *Engine) OrderHolders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var holders []string
	for _, order := range e.received {
		if order.Status == http.StatusAccepted {
			holders = append(holders, order.Holder)
		}
	}
	return holders
}

// Orders returns all well-formed orders that the engine received.
func (e *Engine) Orders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedOrder(nil), e.received...)
}

// ID returns the engine's ID, which a later process may reuse.
func (e *Engine) ID() string { return e.options.ID }

func (e *Engine) Service() string { return e.options.Service }

// Entry returns the engine's record for the engine list.
func (e *Engine) Entry(address, state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw, err := json.Marshal(e.withStartTime(map[string]any{
		"service": e.options.Service, "address": address, "zone": e.options.Zone, "version": "v1",
		"slots": e.options.Slots, "state": state, "coldLeftMs": e.coldRemaining().Milliseconds(), "models": e.modelList(),
		"seqNo": e.orders,
	}))
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	return raw
}

// withStartTime adds the engine's start time to an entry or report.
func (e *Engine) withStartTime(fields map[string]any) map[string]any {
	if e.options.StartMillis != 0 {
		fields["born"] = e.options.StartMillis
	}
	return fields
}

// modelList returns the wire form of the versions. Must be called with mu held.
func (e *Engine) modelList() []map[string]any {
	list := []map[string]any{}
	for name, version := range e.versions {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

// crashesOn reports whether a run crashes the engine.
func (e *Engine) crashesOn(run Run) bool {
	return e.options.CrashesOn != nil && e.options.CrashesOn(run)
}

// beginRun records a run and returns it with its number and the fault injected into it. It returns false if the engine
// refuses the request; otherwise the caller must call endRun.
func (e *Engine) beginRun(r *http.Request, body string) (run Run, number int, fault EngineFault, begun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(headerRequestID)
	if e.fault != nil {
		fault = e.fault(id)
	}
	if fault == RefusesFull || e.running >= e.options.Slots {
		return Run{}, 0, RefusesFull, false
	}
	lastEventID, _ := strconv.ParseInt(r.Header.Get(headerLastEvent), 10, 64)
	e.running++
	run = Run{
		ID: id, Path: r.URL.Path, Query: r.URL.RawQuery, Body: body, LastEventID: lastEventID, Host: r.Host, At: time.Now(),
		Tenant: r.Header.Get(headerTenant), Credentials: r.Header.Get(headerCredentials), Fault: fault,
	}
	e.runs = append(e.runs, run)
	return run, len(e.runs) - 1, fault, true
}

func (e *Engine) endRun(number int, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.runs[number].EndedAt, e.runs[number].Whole = time.Now(), whole
}
