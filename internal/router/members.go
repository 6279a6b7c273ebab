package router

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
)

// memberIndexMaxAge is the age after which the index is rebuilt.
const memberIndexMaxAge = 100 * time.Millisecond

// memberIndex looks up members by ID without scanning all of them for each request.
type memberIndex struct {
	view cluster.View

	mutex sync.Mutex
	built time.Time
	byID  map[string]cluster.Member
}

func newMemberIndex(view cluster.View) *memberIndex {
	return &memberIndex{view: view}
}

// find returns the member with the ID unless it is dead.
func (m *memberIndex) find(nodeID string, now time.Time) (cluster.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.byID == nil || now.Sub(m.built) > memberIndexMaxAge {
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
