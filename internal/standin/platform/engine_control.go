package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.withStartTime(map[string]any{
		"stage": "both", "models": e.modelList(), "busy": e.busy, "seqNo": e.orders,
		"queuedCount": 0, "runningCount": e.running,
	}))
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	cold := e.coldRemaining()
	e.mu.Unlock()
	w.Header().Set(headerInstance, e.options.ID)
	w.Header().Set(headerColdMs, strconv.FormatInt(cold.Milliseconds(), 10))
	w.WriteHeader(http.StatusOK)
}

// countUnknown is ReceivedOrder.ExpectedCount for an order that does not state a count.
const countUnknown = -1

// hostOf returns an address without its port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Kind     string `json:"opKind"`
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expectedRev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Kind != "version" ||
		body.Holder == "" || body.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case e.options.CheckFences && body.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.busy || body.Expected != nil && *body.Expected != e.orders:
		status = http.StatusConflict
	case e.versions[body.Model] == body.Version:
		status = http.StatusOK
	}
	received := ReceivedOrder{
		Holder: body.Holder, Fence: body.Fence, Version: body.Version, At: time.Now(), From: hostOf(r.RemoteAddr),
		ExpectedCount: countUnknown, AcceptedCount: e.orders, Status: status,
	}
	if body.Expected != nil {
		received.ExpectedCount = *body.Expected
	}
	e.received = append(e.received, received)
	if status != http.StatusAccepted {
		w.WriteHeader(status)
		return
	}
	e.fence = max(e.fence, body.Fence)
	e.orders++
	e.busy = true
	time.AfterFunc(e.options.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.versions[body.Model] = body.Version
		e.busy = false
	})
	w.WriteHeader(http.StatusAccepted)
}
