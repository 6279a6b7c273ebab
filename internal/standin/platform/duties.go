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

// UsageCall is a report of use as it arrived.
type UsageCall struct {
	Holder string `json:"-"`
	Fence  int64  `json:"-"`
	// From is the address that the call came from, without the port.
	From   string           `json:"-"`
	At     time.Time        `json:"-"`
	Window int64            `json:"windowNo"`
	Counts map[string]int64 `json:"counts"`
	// Status is the answer that was given.
	Status int `json:"-"`
}

// ScaleCall is an order of engines as it arrived.
type ScaleCall struct {
	Holder  string    `json:"-"`
	Fence   int64     `json:"-"`
	At      time.Time `json:"-"`
	Service string    `json:"service"`
	Zone    string    `json:"zone"`
	Count   int       `json:"desiredCount"`
	Status  int       `json:"-"`
}

// Duties takes the calls that one node at a time makes. It is an http.Handler.
type Duties struct {
	router *mux.Router

	mu sync.Mutex
	// ignoreFences is true where lower fencing tokens than one seen are taken.
	ignoreFences bool
	// fences holds the highest fencing token of each subject.
	fences map[string]int64
	usage  []UsageCall
	scale  []ScaleCall
	// soldOut is true while no engines are to be had.
	soldOut bool
	// loseAnswers is true while calls are carried out and not answered.
	loseAnswers bool
}

// NewDuties returns what takes the calls.
func NewDuties() *Duties {
	d := &Duties{router: mux.NewRouter(), fences: make(map[string]int64)}
	d.router.HandleFunc("/usage", d.takeUsage).Methods(http.MethodPost)
	d.router.HandleFunc("/scale", d.takeScale).Methods(http.MethodPost)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Duties) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.router.ServeHTTP(w, r) }

// SoldOut sets whether no engines are to be had.
func (d *Duties) SoldOut(soldOut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.soldOut = soldOut
}

// LoseAnswers sets whether calls are carried out and not answered.
func (d *Duties) LoseAnswers(lose bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loseAnswers = lose
}

// IgnoreFences has calls with lower fencing tokens than one seen taken as well.
func (d *Duties) IgnoreFences() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreFences = true
}

// Usage returns the reports in the order of their arrival.
func (d *Duties) Usage() []UsageCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]UsageCall(nil), d.usage...)
}

// Scale returns the orders of engines in the order of their arrival.
func (d *Duties) Scale() []ScaleCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]ScaleCall(nil), d.scale...)
}

// Reported returns what was taken for each window, and the windows for which two
// reports were taken that differ.
func (d *Duties) Reported() (windows map[int64]map[string]int64, differing []int64) {
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

func (d *Duties) takeUsage(w http.ResponseWriter, r *http.Request) {
	call := UsageCall{At: time.Now(), From: hostOf(r.RemoteAddr)}
	holder, fence, read := readCall(r, &call)
	call.Holder, call.Fence = holder, fence
	d.mu.Lock()
	defer d.mu.Unlock()
	call.Status = d.status("usage", fence, read, false)
	d.usage = append(d.usage, call)
	d.answer(w, call.Status)
}

func (d *Duties) takeScale(w http.ResponseWriter, r *http.Request) {
	call := ScaleCall{At: time.Now()}
	holder, fence, read := readCall(r, &call)
	call.Holder, call.Fence = holder, fence
	d.mu.Lock()
	defer d.mu.Unlock()
	call.Status = d.status("scale/"+call.Service+"/"+call.Zone, fence, read, d.soldOut)
	d.scale = append(d.scale, call)
	d.answer(w, call.Status)
}

// readCall reads who calls, and the body into a call; false if one of them is missing.
func readCall(r *http.Request, into any) (holder string, fence int64, read bool) {
	holder = r.Header.Get("X-Corkpulley-Duty-Holder")
	fence, err := strconv.ParseInt(r.Header.Get("X-Corkpulley-Fencing-Token"), 10, 64)
	read = err == nil && holder != "" && json.NewDecoder(r.Body).Decode(into) == nil
	return holder, fence, read
}

// status decides about a call; mu is held.
func (d *Duties) status(subject string, fence int64, read, soldOut bool) int {
	switch {
	case !read:
		return http.StatusBadRequest
	case fence < d.fences[subject] && !d.ignoreFences:
		return http.StatusConflict
	}
	d.fences[subject] = max(fence, d.fences[subject])
	if soldOut {
		return http.StatusConflict
	}
	return http.StatusOK
}

// answer gives the answer, or none; mu is held.
func (d *Duties) answer(w http.ResponseWriter, status int) {
	if d.loseAnswers {
		loseAnswer()
	}
	w.WriteHeader(status)
}
