package router

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
)

// memberIndexAge is how old the index may be. The view is late by more anyway.
const memberIndexAge = 100 * time.Millisecond

// memberIndex finds members by ID without a walk over all of them for each request.
type memberIndex struct {
	view cluster.View

	mutex sync.Mutex
	built time.Time
	byID  map[string]cluster.Member
}

func newMemberIndex(view cluster.View) *memberIndex {
	return &memberIndex{view: view}
}

// find returns a member that is not dead.
func (m *memberIndex) find(nodeID string, now time.Time) (cluster.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.byID == nil || now.Sub(m.built) > memberIndexAge {
		m.rebuild(now)
	}
	member, known := m.byID[nodeID]
	return member, known
}

func (m *memberIndex) rebuild(now time.Time) {
	members := m.view.Members()
	m.byID = make(map[string]cluster.Member, len(members))
	for _, member := range members {
		if member.State != cluster.StateDead {
			m.byID[member.ID] = member
		}
	}
	m.built = now
}
