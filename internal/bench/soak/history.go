package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// LiveCall is one request of a live caller, with its own ID.
type LiveCall struct {
	ID   string
	Path string
	Body string
	// Kind is the kind of its route.
	Kind string
	// Tenant is whose key was shown; tenantLive when empty.
	Tenant string
	SentAt time.Time
	// Answer is what came back, Whole is false when the connection broke off.
	Answer standin.LiveAnswer
	Whole  bool
}

// JobSeen is one batch job as its trainer knows it.
type JobSeen struct {
	Job standin.Job
	// Tenant is its trainer's, Key the one that the trainer shows.
	Tenant string
	Key    string
	SentAt time.Time
	// Asked tells when each node was first asked about it: to take it, for its results, or
	// for its end.
	Asked map[int]time.Time
	// Accepted: a node answered 202. AllRefused: every try was answered with a
	// promise that nothing runs.
	Accepted   bool
	AllRefused bool
	// EndAskedAt and EndedAt are when the trainer asked for its end and when that
	// was acknowledged; zero when it was not.
	EndAskedAt time.Time
	EndedAt    time.Time
	// Positions are the results by position, as first read.
	Positions []standin.ItemResult
	// Complete is true once every item was read as listed.
	Complete bool
	// FinalStatus holds the statuses of the last reads, by node, that did not work.
	FinalStatus map[string]int
}

// Probe asks one node for a route that one configuration added.
type Probe struct {
	Node int
	// Life counts the starts of the node's process.
	Life int
	// Version is the configuration whose route is asked for.
	Version int64
	SentAt  time.Time
	EndedAt time.Time
	Status  int
}

// ConfigSeen is a configuration that the operator put in force.
type ConfigSeen struct {
	Version int64
	SentAt  time.Time
	AckedAt time.Time
	// Homes are the regions that it names.
	Homes Homes
}

// EvacuationSeen is an evacuation of a zone.
type EvacuationSeen struct {
	Zone    string
	AckedAt time.Time
	// TakenBackAt is zero while it is in force.
	TakenBackAt time.Time
}

// ColdSeen is a time in which an engine is cold.
type ColdSeen struct {
	From time.Time
	To   time.Time
	// Announced: it turned cold while it ran, as its entry told at From; it was cold from
	// its start otherwise.
	Announced bool
}

// LeaveSeen is an engine that was listed as leaving.
type LeaveSeen struct {
	Engine string
	At     time.Time
}

// EndSeen is an engine that ended under a request.
type EndSeen struct {
	Path string
	Body string
	At   time.Time
}

// TimeSpan is a time from one moment to another.
type TimeSpan struct{ From, To time.Time }

// EngineSeen is what one incarnation of an engine saw.
type EngineSeen struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Restarted: an engine ran under this ID before.
	Restarted bool
	// Version is the weight version that it began with.
	Version   int64
	StartedAt time.Time
	// EndedAt is zero when it ran to the end.
	EndedAt  time.Time
	Runs     []standin.Run
	Orders   []standin.OrderSeen
	Arrivals []standin.Arrival
	Cold     []ColdSeen
	// Spoiled are times in which an entry that names no engine stood in the place of its own.
	Spoiled []TimeSpan
}

// anyNode stands for all nodes in a Disturbance.
const anyNode = -1

// Disturbance is a time in which a node is not in touch.
type Disturbance struct {
	Node int
	From time.Time
	// To is zero while it lasts.
	To time.Time
}

// Resumption is when a node went on from a freeze, or its way to the engines healed.
type Resumption struct {
	Node int
	At   time.Time
}

// History is all that callers, trainers, the operator and the engines have seen.
type History struct {
	mu     sync.Mutex
	Calls  []LiveCall
	Jobs   []*JobSeen
	Probes []Probe
	// Revoked are probes with a key that their configuration took away.
	Revoked []Probe
	// Usage holds the reports of use as the platform received them.
	Usage       []standin.UsageCall
	Configs     []ConfigSeen
	Leaves      []LeaveSeen
	Engines     []EngineSeen
	Ends        []EndSeen
	Evacuations []*EvacuationSeen
	// Strays are calls at the address of entries that name no engine.
	Strays []StraySeen
	// Bodies holds what nodes first read from the store of the bodies of items that are
	// bound to regions.
	Bodies       map[bodyRead]time.Time
	Disturbances []*Disturbance
	// Resumed holds the ends of freezes and of faults between nodes and engines.
	Resumed []Resumption
	// EnginesFence is true where engines refuse lower fencing tokens than one seen.
	EnginesFence bool
	// Changed holds positions of jobs that were read twice with different content.
	Changed []string
}

func (h *History) addCall(call LiveCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, call)
}

func (h *History) addJob(job standin.Job, trainer int) *JobSeen {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := &JobSeen{
		Job: job, Tenant: tenantOf(trainer), Key: trainerKey(trainer), SentAt: time.Now(),
		Asked: make(map[int]time.Time), FinalStatus: make(map[string]int),
	}
	h.Jobs = append(h.Jobs, seen)
	return seen
}

// ask notes that a trainer is about to ask a node about a job.
func (h *History) ask(job *JobSeen, node int) {
	h.update(func() {
		if job.Asked[node].IsZero() {
			job.Asked[node] = time.Now()
		}
	})
}

// update makes a change under the history's lock.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// takeResults notes the results read at a position of a job.
func (h *History) takeResults(job *JobSeen, from int, results []standin.ItemResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, result := range results {
		position := from + i
		switch {
		case position < len(job.Positions):
			if known := job.Positions[position]; !sameResult(known, result) {
				h.Changed = append(h.Changed, fmt.Sprintf("job %s position %d held %+v, then %+v", job.Job.ID, position, known, result))
			}
		case position == len(job.Positions):
			job.Positions = append(job.Positions, result)
		}
	}
	job.Complete = job.listed() == job.owed()
}

// owed is the number of items that are to be listed: those that end their engines may wait
// for the end of their job.
func (j *JobSeen) owed() int {
	owed := 0
	for _, item := range j.Job.Items {
		if !crashesEngine(item.Body) {
			owed++
		}
	}
	return owed
}

// listed is the number of these that were read as listed.
func (j *JobSeen) listed() int {
	listed := 0
	for _, result := range j.Positions {
		if !crashesEngine(result.ID) {
			listed++
		}
	}
	return listed
}

func sameResult(one, other standin.ItemResult) bool {
	return one.ID == other.ID && one.State == other.State && one.Text == other.Text &&
		slices.Equal(one.Versions, other.Versions)
}

// addEvacuation notes an evacuation that the store has taken.
func (h *History) addEvacuation(zone string) {
	h.update(func() {
		h.Evacuations = append(h.Evacuations, &EvacuationSeen{Zone: zone, AckedAt: time.Now()})
	})
}

// endEvacuation notes that the evacuation of a zone is about to be taken back.
func (h *History) endEvacuation(zone string) {
	h.update(func() {
		for _, each := range h.Evacuations {
			if each.Zone == zone && each.TakenBackAt.IsZero() {
				each.TakenBackAt = time.Now()
			}
		}
	})
}

// disturb notes that a node is not in touch until the returned function is called.
func (h *History) disturb(node int) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	disturbance := &Disturbance{Node: node, From: time.Now()}
	h.Disturbances = append(h.Disturbances, disturbance)
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		disturbance.To = time.Now()
	})
}

// resume notes that a node goes on from a freeze, or that its way to the engines heals.
func (h *History) resume(node int) {
	h.update(func() { h.Resumed = append(h.Resumed, Resumption{Node: node, At: time.Now()}) })
}

// inTouch tells whether a node was undisturbed from the contact time before from
// until to; with anyNode, whether all were.
func (h *History) inTouch(node int, from, to time.Time, contact time.Duration) bool {
	from = from.Add(-contact)
	for _, each := range h.Disturbances {
		if node != anyNode && each.Node != anyNode && each.Node != node {
			continue
		}
		if each.From.Before(to) && (each.To.IsZero() || each.To.After(from)) {
			return false
		}
	}
	return true
}
