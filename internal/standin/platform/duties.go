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

// UsageCall is a usage report as received.
type UsageCall struct {
	Holder string `json:"-"`
	Fence  int64  `json:"-"`
	// From is the caller's IP address.
	From   string           `json:"-"`
	At     time.Time        `json:"-"`
	Window int64            `json:"windowNo"`
	Counts map[string]int64 `json:"counts"`
	// Status is the response status.
	Status int `json:"-"`
}

// ScaleCall is a scaling request as received.
type ScaleCall struct {
	Holder  string    `json:"-"`
	Fence   int64     `json:"-"`
	At      time.Time `json:"-"`
	Service string    `json:"service"`
	Zone    string    `json:"zone"`
	Count   int       `json:"desiredCount"`
	Status  int       `json:"-"`
}

// Duties receives usage reports and scaling requests, the calls that only one node at a time may make.
// It is an http.Handler.
type Duties struct {
	router *mux.Router

	mu sync.Mutex
	// ignoreFences accepts calls whose fencing token is lower than one already seen.
	ignoreFences bool
	// fences is the highest fencing token seen for usage reports and for the scaling of each service and zone.
	fences map[string]int64
	usage  []UsageCall
	scale  []ScaleCall
	// noCapacity rejects scaling requests for lack of engines.
	noCapacity bool
	// dropResponses closes connections without a response after the call took effect.
	dropResponses bool
}

// NewDuties returns a receiver without recorded calls.
func NewDuties() *Duties {
	d := &Duties{router: mux.NewRouter(), fences: make(map[string]int64)}
	d.router.HandleFunc("/usage", d.handleUsage).Methods(http.MethodPost)
	d.router.HandleFunc("/scale", d.handleScale).Methods(http.MethodPost)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Duties) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.router.ServeHTTP(w, r) }

// SetNoCapacity sets whether scaling requests are rejected for lack of engines.
func (d *Duties) SetNoCapacity(noCapacity bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noCapacity = noCapacity
}

// SetDropResponses sets whether connections are closed without a response after the call took effect.
func (d *Duties) SetDropResponses(drop bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropResponses = drop
}

// IgnoreFences accepts calls whose fencing token is lower than one already seen.
func (d *Duties) IgnoreFences() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreFences = true
}

// Usage returns the usage reports in order of arrival.
func (d *Duties) Usage() []UsageCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]UsageCall(nil), d.usage...)
}

// Scale returns the scaling requests in order of arrival.
func (d *Duties) Scale() []ScaleCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]ScaleCall(nil), d.scale...)
}

// AcceptedUsage returns the accepted counts of each window, and the windows for which accepted reports differ.
func (d *Duties) AcceptedUsage() (windows map[int64]map[string]int64, differing []int64) {
	windows = make(map[int64]map[string]int64)
	for _, call := range d.Usage() {
		if call.Status != http.StatusOK {
			continue
		}
		if known, found := windows[call.Window]; found && !maps.Equal(known, call.Counts) {
			differing = append(differing, call.Window)
		}
		windows[call.Window] = call.Counts
	}
	return windows, differing
}

func (d *Duties) handleUsage(w http.ResponseWriter, r *http.Request) {
	call := UsageCall{At: time.Now(), From: hostOf(r.RemoteAddr)}
	holder, fence, valid := decodeCall(r, &call)
	call.Holder, call.Fence = holder, fence
	d.mu.Lock()
	defer d.mu.Unlock()
	call.Status = d.status("usage", fence, valid, false)
	d.usage = append(d.usage, call)
	d.respond(w, call.Status)
}

func (d *Duties) handleScale(w http.ResponseWriter, r *http.Request) {
	call := ScaleCall{At: time.Now()}
	holder, fence, valid := decodeCall(r, &call)
	call.Holder, call.Fence = holder, fence
	d.mu.Lock()
	defer d.mu.Unlock()
	call.Status = d.status("scale/"+call.Service+"/"+call.Zone, fence, valid, d.noCapacity)
	d.scale = append(d.scale, call)
	d.respond(w, call.Status)
}

// decodeCall decodes the caller's headers and the body; valid is false if one of them is missing or malformed.
func decodeCall(r *http.Request, into any) (holder string, fence int64, valid bool) {
	holder = r.Header.Get("X-Corkpulley-Duty-Holder")
	fence, err := strconv.ParseInt(r.Header.Get("X-Corkpulley-Fencing-Token"), 10, 64)
	valid = err == nil && holder != "" && json.NewDecoder(r.Body).Decode(into) == nil
	return holder, fence, valid
}

// status returns the response status of a call. Must be called with mu held.
func (d *Duties) status(subject string, fence int64, valid, noCapacity bool) int {
	switch {
	case !valid:
		return http.StatusBadRequest
	case fence < d.fences[subject] && !d.ignoreFences:
		return http.StatusConflict
	}
	d.fences[subject] = max(fence, d.fences[subject])
	if noCapacity {
		return http.StatusConflict
	}
	return http.StatusOK
}

// respond writes the status, or closes the connection if responses are dropped. Must be called with mu held.
func (d *Duties) respond(w http.ResponseWriter, status int) {
	if d.dropResponses {
		abortConnection()
	}
	w.WriteHeader(status)
}
