package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// Topics of the platform's own records.
const (
	topicControl = "keyed.op"
	topicEngines = "keyed.servers"
)

// partitionsPerTopic is the number of partitions that a group assigns per topic.
const partitionsPerTopic = 12

// group assigns partitions to its members.
type group struct {
	generation int64
	topics     []string
	members    map[string]*member
	owner      map[eventlog.Partition]string
	committed  map[eventlog.Partition]int64
	// ownedSince is the generation in which each partition's owner last changed.
	ownedSince map[eventlog.Partition]int64
}

type member struct {
	lastGeneration int64
	expires        time.Time
	ttl            time.Duration
}

// groupRequest is the body of join, leave and commit calls.
type groupRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
	Topic      string   `json:"topic"`
	Part       int      `json:"part"`
	Offset     int64    `json:"offset"`
}

func (s *Store) decodeGroupCall(w http.ResponseWriter, r *http.Request) (groupRequest, *group, bool) {
	var body groupRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Group == "" || body.Member == "" {
		http.Error(w, "group and member are wanted", http.StatusBadRequest)
		return body, nil, false
	}
	known, found := s.groups[body.Group]
	if !found {
		known = &group{
			members: make(map[string]*member), owner: make(map[eventlog.Partition]string),
			committed: make(map[eventlog.Partition]int64), ownedSince: make(map[eventlog.Partition]int64),
		}
		s.groups[body.Group] = known
	}
	known.expire(time.Now())
	return body, known, true
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, joined, ok := s.decodeGroupCall(w, r)
	if !ok {
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	if ttl < s.limits.MinMemberTTL {
		http.Error(w, "ttlMs is too short", http.StatusBadRequest)
		return
	}
	known, found := joined.members[body.Member]
	if !found {
		known = &member{}
		joined.members[body.Member] = known
		joined.topics = body.Topics
		joined.rebalance()
	}
	known.lastGeneration, known.ttl = body.Generation, ttl
	known.expires = time.Now().Add(ttl)
	rows := [][3]any{}
	for _, partition := range joined.partitions() {
		if joined.owner[partition] == body.Member {
			rows = append(rows, [3]any{partition.Topic, partition.Number, joined.committed[partition]})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": joined.generation, "ttlMs": body.TTLMs, "parts": rows})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, left, ok := s.decodeGroupCall(w, r)
	if !ok {
		return
	}
	if _, found := left.members[body.Member]; found {
		delete(left.members, body.Member)
		left.rebalance()
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, known, ok := s.decodeGroupCall(w, r)
	if !ok {
		return
	}
	partition := eventlog.Partition{Topic: body.Topic, Number: body.Part}
	if known.owner[partition] != body.Member || body.Generation < known.ownedSince[partition] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	known.committed[partition] = body.Offset
	w.WriteHeader(http.StatusOK)
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][4]any{}
	if known, found := s.groups[r.URL.Query().Get("group")]; found {
		known.expire(time.Now())
		for _, partition := range known.partitions() {
			if owner := known.owner[partition]; owner != "" {
				rows = append(rows, [4]any{partition.Topic, partition.Number, owner, known.committed[partition]})
			}
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

// Rebalance reassigns all partitions of a group at once.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, found := s.groups[name]; found {
		known.owner = make(map[eventlog.Partition]string)
		known.rebalance()
	}
}

func (g *group) partitions() []eventlog.Partition {
	var all []eventlog.Partition
	for _, topic := range g.topics {
		for number := range partitionsPerTopic {
			all = append(all, eventlog.Partition{Topic: topic, Number: number})
		}
	}
	return all
}

// expire removes members whose TTL has passed.
func (g *group) expire(now time.Time) {
	dropped := false
	for name, current := range g.members {
		if now.After(current.expires) {
			delete(g.members, name)
			dropped = true
		}
	}
	if dropped {
		g.rebalance()
	}
}

// rebalance distributes the partitions evenly over the members, in a new generation.
func (g *group) rebalance() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, partition := range g.partitions() {
		owner := ""
		if len(names) > 0 {
			owner = names[i%len(names)]
		}
		if g.owner[partition] != owner {
			g.owner[partition] = owner
			g.ownedSince[partition] = g.generation
		}
	}
}
