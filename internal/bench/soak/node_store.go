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

// effect is what happens to the calls of one node at the store.
type effect uint8

// The effects; several may be under way.
const (
	// hangReads: reads get no answer while it lasts.
	hangReads effect = iota
	// hangLeaseReads: the same, for reads of the lease alone, which is a partition of its own.
	hangLeaseReads
	// lateReads: reads are answered late, with what the store held when they came.
	lateReads
	// refuseWrites: writes are refused.
	refuseWrites
	// loseAnswers: writes take effect, and their answers are lost.
	loseAnswers
	// slowWrites: writes work, and their answers come late.
	slowWrites
	// lateWrites: writes are carried out late.
	lateWrites

	effects
)

const (
	// slowWrite is the time by which the answer to a slow write is late: below the time for
	// which a node waits for a renewal, 400 ms.
	slowWrite = 300 * time.Millisecond
	// lateRead is the time by which the answer to a late read is late: below the time for
	// which a node waits for it, 0.9 s beyond what it lets the store wait.
	lateRead = 800 * time.Millisecond
	// latestWrite is the most by which a late write is late: it outlasts its caller.
	latestWrite = 3 * time.Second
	// maxWrite bounds the body of a write; the store's own bound is lower.
	maxWrite = 4 << 20
)

// nodeStore is one node's way to the store, with the faults that strike its calls
// alone. It is an http.Handler.
type nodeStore struct {
	store http.Handler
	// wrote is told of each write that took effect.
	wrote func(w leaseWrite)
	// gave, when set, is told of each answer to a read that is given.
	gave func(answer []byte)

	mu     sync.Mutex
	active [effects]int
	// changed is closed with each change of active.
	changed chan struct{}
	// trap, when set, is told of the next record of an order once it is answered.
	trap func()
	// claimLost, when set, is told of the next claim of the lease, whose answer is lost.
	claimLost func()
}

func newNodeStore(store http.Handler, wrote func(w leaseWrite)) *nodeStore {
	return &nodeStore{store: store, wrote: wrote, changed: make(chan struct{})}
}

// begin starts an effect and returns what ends it.
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

// under tells whether an effect is under way, and what is closed with the next change.
func (s *nodeStore) under(kind effect) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[kind] > 0, s.changed
}

// outlast waits until an effect is over; false when the caller has gone before.
func (s *nodeStore) outlast(ctx context.Context, kind effect) bool {
	for {
		lasts, changed := s.under(kind)
		if !lasts {
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

// read answers a read once reads do not hang, also one that began before they did.
func (s *nodeStore) read(w http.ResponseWriter, r *http.Request) {
	answer := newHeldAnswer()
	s.store.ServeHTTP(answer, r)
	if late, _ := s.under(lateReads); late && !retry.Sleep(r.Context(), lateRead) {
		return
	}
	aboutLease := r.URL.Query().Get("topic") == leaseTopic
	if aboutLease && !s.outlast(r.Context(), hangLeaseReads) || !s.outlast(r.Context(), hangReads) {
		return
	}
	if s.gave != nil {
		s.gave(answer.body.Bytes())
	}
	answer.giveTo(w)
}

func (s *nodeStore) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWrite))
	if err != nil {
		return
	}
	if refused, _ := s.under(refuseWrites); refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late, _ := s.under(lateWrites); late {
		// Carried out whether or not its caller still waits.
		retry.Sleep(context.Background(), rand.N(latestWrite))
	}
	answer := newHeldAnswer()
	carriedOut := r.Clone(context.WithoutCancel(r.Context()))
	carriedOut.Body = io.NopCloser(bytes.NewReader(body))
	s.store.ServeHTTP(answer, carriedOut)
	write := readLeaseWrite(r, body, answer.status)
	if write.took {
		s.wrote(write)
	}
	if s.losesAnswer(write) {
		s.lose(r.Context())
	}
	if slow, _ := s.under(slowWrites); slow {
		retry.Sleep(r.Context(), slowWrite)
	}
	answer.giveTo(w)
	s.spring(w, write)
}

// losesAnswer tells whether the answer to a write is lost.
func (s *nodeStore) losesAnswer(write leaseWrite) bool {
	s.mu.Lock()
	lost, claimLost := s.active[loseAnswers] > 0, s.claimLost
	claimed := write.claim && write.took && claimLost != nil
	if claimed {
		s.claimLost = nil
	}
	s.mu.Unlock()
	if claimed {
		claimLost()
	}
	return lost || claimed
}

// lose ends a call without an answer, at once or when its caller has given up.
func (s *nodeStore) lose(ctx context.Context) {
	const atOnce = 2 // one in how many
	if rand.IntN(atOnce) != 0 {
		s.outlast(ctx, loseAnswers)
	}
	panic(http.ErrAbortHandler)
}

// spring springs the trap once the record of an order is answered.
func (s *nodeStore) spring(w http.ResponseWriter, write leaseWrite) {
	if !write.order || !write.took {
		return
	}
	s.mu.Lock()
	trap := s.trap
	s.trap = nil
	s.mu.Unlock()
	if trap == nil {
		return
	}
	_ = http.NewResponseController(w).Flush()
	trap()
}

// setTrap sets what is told of the next record of an order; nil for nothing.
func (s *nodeStore) setTrap(trap func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trap = trap
}

// loseNextClaim loses the answer to the next claim of the lease, of which told is told,
// and returns what takes that back.
func (s *nodeStore) loseNextClaim(told func()) func() {
	set := func(claimLost func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.claimLost = claimLost
	}
	set(told)
	return func() { set(nil) }
}

// heldAnswer keeps an answer until it may be given.
type heldAnswer struct {
	header http.Header
	body   bytes.Buffer
	status int
}

func newHeldAnswer() *heldAnswer {
	return &heldAnswer{header: make(http.Header), status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(content []byte) (int, error) { return a.body.Write(content) }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// giveTo gives the answer.
func (a *heldAnswer) giveTo(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}
