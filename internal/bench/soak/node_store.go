package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// effect is a fault of the store calls of one node.
type effect uint8

// The effects; several may be active at once.
const (
	// hangReads: reads get no answer while it is active.
	hangReads effect = iota
	// hangLeaseReads: the same for reads of the lease topic only.
	hangLeaseReads
	// lateReads: reads are answered late, with the state of the store at their arrival.
	lateReads
	// refuseWrites: writes are refused.
	refuseWrites
	// loseAnswers: writes take effect, but their answers are lost.
	loseAnswers
	// slowWrites: writes take effect, and their answers are late.
	slowWrites
	// lateWrites: writes take effect late.
	lateWrites

	effectCount
)

const (
	// slowWriteDelay is the delay of the answer to a slow write: shorter than the 400 ms for which a node
	// waits for a renewal.
	slowWriteDelay = 300 * time.Millisecond
	// lateReadDelay is the delay of the answer to a late read: shorter than the node's timeout, which is
	// 0.9 s longer than the wait of its long poll.
	lateReadDelay = 800 * time.Millisecond
	// maxLateWrite is the longest delay of a late write; it exceeds the caller's timeout.
	maxLateWrite = 3 * time.Second
	// maxWriteBytes bounds the body of a write; the store's own limit is lower.
	maxWriteBytes = 4 << 20
)

// nodeStore is one node's connection to the store, with the faults that affect only that node's calls. It
// is an http.Handler.
type nodeStore struct {
	store http.Handler
	// onLeaseWrite is called for each write to the lease that took effect.
	onLeaseWrite func(w leaseWrite)
	// onRead, if set, is called with each answer to a read that is sent.
	onRead func(answer []byte)

	mu     sync.Mutex
	active [effectCount]int
	// changed is closed at each change of active.
	changed chan struct{}
	// onOrder, if set, is called once after the next order record was answered.
	onOrder func()
	// onClaimLost, if set, is called once when the answer to the next lease claim is lost.
	onClaimLost func()
}

func newNodeStore(store http.Handler, onLeaseWrite func(w leaseWrite)) *nodeStore {
	return &nodeStore{store: store, onLeaseWrite: onLeaseWrite, changed: make(chan struct{})}
}

// begin activates an effect. The returned function deactivates it.
func (s *nodeStore) begin(kind effect) func() {
	s.change(kind, 1)
	return sync.OnceFunc(func() { s.change(kind, -1) })
}

func (s *nodeStore) change(kind effect, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[kind] += by
	close(s.changed)
	s.changed = make(chan struct{})
}

// isActive reports whether an effect is active, and returns a channel that is closed at the next change.
func (s *nodeStore) isActive(kind effect) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[kind] > 0, s.changed
}

// awaitEnd waits until an effect is inactive. It returns false if ctx ends first.
func (s *nodeStore) awaitEnd(ctx context.Context, kind effect) bool {
	for {
		active, changed := s.isActive(kind)
		if !active {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *nodeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.read(w, r)
		return
	}
	s.write(w, r)
}

// read answers a read once reads do not hang. Reads in progress when the effect begins are held back, too.
func (s *nodeStore) read(w http.ResponseWriter, r *http.Request) {
	answer := newBufferedResponse()
	s.store.ServeHTTP(answer, r)
	if late, _ := s.isActive(lateReads); late && !retry.Sleep(r.Context(), lateReadDelay) {
		return
	}
	isLeaseRead := r.URL.Query().Get("topic") == leaseTopic
	if isLeaseRead && !s.awaitEnd(r.Context(), hangLeaseReads) || !s.awaitEnd(r.Context(), hangReads) {
		return
	}
	if s.onRead != nil {
		s.onRead(answer.body.Bytes())
	}
	answer.writeTo(w)
}

func (s *nodeStore) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWriteBytes))
	if err != nil {
		return
	}
	if refused, _ := s.isActive(refuseWrites); refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late, _ := s.isActive(lateWrites); late {
		// Takes effect even if the caller no longer waits.
		retry.Sleep(context.Background(), rand.N(maxLateWrite))
	}
	answer := newBufferedResponse()
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = io.NopCloser(bytes.NewReader(body))
	s.store.ServeHTTP(answer, detached)
	write := readLeaseWrite(r, body, answer.status)
	if write.applied {
		s.onLeaseWrite(write)
	}
	if s.losesAnswer(write) {
		s.dropAnswer(r.Context())
	}
	if slow, _ := s.isActive(slowWrites); slow {
		retry.Sleep(r.Context(), slowWriteDelay)
	}
	answer.writeTo(w)
	s.notifyOrder(w, write)
}

// losesAnswer reports whether the answer to a write is lost.
func (s *nodeStore) losesAnswer(write leaseWrite) bool {
	s.mu.Lock()
	lost, onClaimLost := s.active[loseAnswers] > 0, s.onClaimLost
	claimLost := write.claim && write.applied && onClaimLost != nil
	if claimLost {
		s.onClaimLost = nil
	}
	s.mu.Unlock()
	if claimLost {
		onClaimLost()
	}
	return lost || claimLost
}

// dropAnswer aborts a call without an answer: one in abortAtOnceOneIn at once, the others when loseAnswers ends
// or the caller gives up.
func (s *nodeStore) dropAnswer(ctx context.Context) {
	const abortAtOnceOneIn = 2
	if rand.IntN(abortAtOnceOneIn) != 0 {
		s.awaitEnd(ctx, loseAnswers)
	}
	panic(http.ErrAbortHandler)
}

// notifyOrder flushes the answer to an order record and calls onOrder.
func (s *nodeStore) notifyOrder(w http.ResponseWriter, write leaseWrite) {
	if !write.order || !write.applied {
		return
	}
	s.mu.Lock()
	onOrder := s.onOrder
	s.onOrder = nil
	s.mu.Unlock()
	if onOrder == nil {
		return
	}
	_ = http.NewResponseController(w).Flush()
	onOrder()
}

// setOnOrder sets the function to call at the next order record; nil for none.
func (s *nodeStore) setOnOrder(onOrder func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onOrder = onOrder
}

// loseNextClaim loses the answer to the next lease claim and calls onLoss then. The returned function cancels
// this if no claim has come yet.
func (s *nodeStore) loseNextClaim(onLoss func()) func() {
	set := func(onClaimLost func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.onClaimLost = onClaimLost
	}
	set(onLoss)
	return func() { set(nil) }
}

// bufferedResponse holds a response until it may be sent.
type bufferedResponse struct {
	header http.Header
	body   bytes.Buffer
	status int
}

func newBufferedResponse() *bufferedResponse {
	return &bufferedResponse{header: make(http.Header), status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *bufferedResponse) Write(content []byte) (int, error) { return r.body.Write(content) }

// WriteHeader implements http.ResponseWriter.
func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

// writeTo sends the response to w.
func (r *bufferedResponse) writeTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
