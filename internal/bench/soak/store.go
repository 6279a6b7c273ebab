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
	// lateReleaseInterval is the interval between two releases of late writes.
	lateReleaseInterval = 1500 * time.Millisecond
	// callFaultShare is the share of calls that a fault affects.
	callFaultShare  = 0.3
	slowAnswerDelay = 250 * time.Millisecond
	// One in downPartitionOneIn partitions is down during StorePartDown.
	downPartitionOneIn = 2
)

// storeFaults is the simulated store with the faults that affect all nodes. It is an http.Handler.
type storeFaults struct {
	store *standin.Store

	mu sync.Mutex
	// active counts the faults in progress of each kind, since they may overlap.
	active map[Kind]int
	// silent is set while no call is answered.
	silent bool
}

func newStoreFaults() *storeFaults {
	s := &storeFaults{store: standin.NewStore(standin.DefaultLimits()), active: make(map[Kind]int)}
	s.store.Log.SetFault(s.faultFor)
	return s
}

// ServeHTTP implements http.Handler. A call that arrives while the store is silent is never answered.
func (s *storeFaults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, slow := s.silent, s.active[StoreSlow] > 0
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if slow {
		retry.Sleep(r.Context(), slowAnswerDelay)
	}
	s.store.ServeHTTP(w, r)
}

// faultFor returns the fault for a call to the log.
func (s *storeFaults) faultFor(call memlog.Call) memlog.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.active[StorePartDown] > 0 && call.Partition.Number%downPartitionOneIn == 1:
		return memlog.Refused
	case s.active[StoreRefuses] > 0 && rand.Float64() < callFaultShare:
		return memlog.Refused
	case !call.Append:
		return memlog.None
	case s.active[StoreLosesAnswers] > 0 && rand.Float64() < callFaultShare:
		return memlog.LostResponse
	case s.active[StoreLate] > 0 && rand.Float64() < callFaultShare:
		return memlog.DelayedEffect
	}
	return memlog.None
}

// begin starts a fault. The returned function ends it.
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

// trimKeyedTopics drops the history of the topics that the operator and the engines write.
func (s *storeFaults) trimKeyedTopics() {
	for _, topic := range standin.KeyedTopics() {
		partition := eventlog.Partition{Topic: topic}
		s.store.Log.Trim(partition, s.store.Log.End(partition))
	}
}

// releaseLateWrites applies late writes periodically until ctx ends.
func (s *storeFaults) releaseLateWrites(ctx context.Context) {
	for retry.Sleep(ctx, lateReleaseInterval) {
		s.store.Log.ReleaseDelayed()
	}
}
