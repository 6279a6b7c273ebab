package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// lateRelease is the time between two releases of late effects.
	lateRelease = 1500 * time.Millisecond
	// faultyShare is the share of calls or appends that a fault strikes.
	faultyShare = 0.3
	slowAnswers = 250 * time.Millisecond
	// partsDown is one in how many partitions is down where a part of the store is.
	partsDown = 2
)

// storeFaults is the store with the faults of its whole and of its parts. It is
// an http.Handler.
type storeFaults struct {
	store *standin.Store

	mu sync.Mutex
	// active counts the faults of each kind under way, since they may overlap.
	active map[Kind]int
	// silent is true while no call is answered.
	silent bool
}

func newStoreFaults() *storeFaults {
	s := &storeFaults{store: standin.NewStore(standin.DefaultLimits()), active: make(map[Kind]int)}
	s.store.Log.SetFault(s.fate)
	return s
}

// ServeHTTP implements http.Handler. A silent store takes a call and never
// answers it, also once it speaks again.
func (s *storeFaults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, slow := s.silent, s.active[StoreSlow] > 0
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if slow {
		retry.Sleep(r.Context(), slowAnswers)
	}
	s.store.ServeHTTP(w, r)
}

// fate decides what happens to a call of the log.
func (s *storeFaults) fate(call memlog.Call) memlog.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.active[StorePartDown] > 0 && call.Partition.Number%partsDown == 1:
		return memlog.Refused
	case s.active[StoreRefuses] > 0 && rand.Float64() < faultyShare:
		return memlog.Refused
	case !call.Append:
		return memlog.None
	case s.active[StoreLoses] > 0 && rand.Float64() < faultyShare:
		return memlog.LostAnswer
	case s.active[StoreLate] > 0 && rand.Float64() < faultyShare:
		return memlog.LateEffect
	}
	return memlog.None
}

// begin starts a fault and returns what ends it.
func (s *storeFaults) begin(kind Kind) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[kind]++
	if kind == StoreSilent {
		s.silent = true
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active[kind]--
		if kind == StoreSilent && s.active[kind] == 0 {
			s.silent = false
		}
	}
}

// forget drops the history of the topics that the operator and the engines write.
func (s *storeFaults) forget() {
	for _, topic := range standin.KeyedTopics() {
		partition := eventlog.Partition{Topic: topic}
		s.store.Log.Trim(partition, s.store.Log.End(partition))
	}
}

// releaseLate carries out late effects until ctx ends.
func (s *storeFaults) releaseLate(ctx context.Context) {
	for retry.Sleep(ctx, lateRelease) {
		s.store.Log.Release()
	}
}
