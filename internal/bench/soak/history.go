package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// LiveCall is a request of a live caller, with its own ID.
type LiveCall struct {
	ID   string
	Path string
	Body string
	// Kind is the kind of the route.
	Kind string
	// Tenant is the tenant whose key was sent; empty for tenantLive.
	Tenant string
	SentAt time.Time
	// Deadline is the deadline that was sent; EndedAt is when the response was complete or the connection broke.
	Deadline time.Duration
	EndedAt  time.Time
	// Node is the node that it was sent to, KeptConnection is set if its caller keeps its connection for many requests;
	// Node is set for these only.
	Node           int
	KeptConnection bool
	// Resumable is set if the route lets streams be resumed at other engines.
	Resumable bool
	// RetryOf is the ID of the refused request that this one repeats; empty for none.
	RetryOf string
	// Answer is the response; Intact is false if the connection broke.
	Answer standin.LiveResponse
	Intact bool
}

// JobRecord is what a trainer knows of one of its batch jobs.
type JobRecord struct {
	Job standin.Job
	// Tenant is the trainer's tenant, Key the key that it sends.
	Tenant string
	Key    string
	SentAt time.Time
	// SingleVersion is set if its route requires a single weight version for each sample.
	SingleVersion bool
	// FirstRequestAt is when the trainer first sent each node a request to submit, read or cancel the job.
	FirstRequestAt map[int]time.Time
	// Accepted is set if a node answered 202, AllRejected if every attempt was answered with a status that
	// guarantees that nothing runs.
	Accepted    bool
	AllRejected bool
	// Refusals are the submissions that were refused with a status that means that they may be repeated.
	Refusals []standin.SubmitResponse
	// CancelSentAt and EndedAt are when the trainer first sent the cancellation and when it was acknowledged;
	// zero if it was not.
	CancelSentAt time.Time
	EndedAt      time.Time
	// CompletedAt is when every expected item was first read as listed.
	CompletedAt time.Time
	// Positions are the results by position, as first read. The first ReadBeforeCancel of them were read before the
	// trainer sent the cancellation.
	Positions        []standin.ItemResult
	ReadBeforeCancel int
	// Complete is set once every expected item was read as listed.
	Complete bool
	// FailedReads holds the status of each failed read at the end of the soak, by a description that names
	// the node.
	FailedReads map[string]int
}

// Probe is a request to one node for a route that one configuration added.
type Probe struct {
	Node int
	// Incarnation counts the starts of the node's process.
	Incarnation int
	// Version is the configuration whose route is requested.
	Version int64
	SentAt  time.Time
	EndedAt time.Time
	Status  int
}

// ConfigRecord is a configuration that the operator applied.
type ConfigRecord struct {
	Version int64
	SentAt  time.Time
	AckedAt time.Time
	// Homes are the home regions that it sets.
	Homes Homes
}

// EvacuationRecord is an evacuation of a zone.
type EvacuationRecord struct {
	Zone    string
	AckedAt time.Time
	// LiftedAt is zero while the evacuation lasts.
	LiftedAt time.Time
}

// ColdPeriod is a period in which an engine is cold.
type ColdPeriod struct {
	From time.Time
	To   time.Time
	// Announced is set if the engine turned cold while running and announced it in its entry at From;
	// otherwise it was cold from its start.
	Announced bool
}

// DrainRecord is an engine that was listed as draining.
type DrainRecord struct {
	Engine string
	At     time.Time
}

// CrashRecord is an engine crash caused by a request.
type CrashRecord struct {
	Path string
	Body string
	At   time.Time
}

// TimeSpan is the period between two times.
type TimeSpan struct{ From, To time.Time }

// PaceChange is a change of the factor by which an engine's work takes longer.
type PaceChange struct {
	At   time.Time
	Pace float64
}

// ContentionRecord describes the load of a contention schedule.
type ContentionRecord struct {
	// Bursts are the periods in which the burst tenants sent requests.
	Bursts []TimeSpan
	// LiveWait is the nodes' setting for the longest wait of a live request; zero if requests do not wait.
	LiveWait time.Duration
	// LoadEndedAt is when trainers stopped submitting jobs.
	LoadEndedAt time.Time
}

// EngineRecord is what one incarnation of an engine observed.
type EngineRecord struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Restarted is set if an engine ran under this ID before.
	Restarted bool
	// Version is the weight version at its start.
	Version   int64
	StartedAt time.Time
	// EndedAt is zero if it ran until the end of the soak.
	EndedAt  time.Time
	Runs     []standin.Run
	Orders   []standin.ReceivedOrder
	Arrivals []standin.Arrival
	Cold     []ColdPeriod
	// Slots is the number of requests that it runs at once, PlainTime the time for a plain response at pace 1, and Paces
	// are its pace from its start on.
	Slots     int
	PlainTime time.Duration
	Paces     []PaceChange
	// EntryInvalid lists the periods in which an invalid entry replaced its own.
	EntryInvalid []TimeSpan
}

// anyNode stands for all nodes, or for an unknown one.
const anyNode = -1

// Disturbance is a period in which a node is affected by a fault, so that time-bounded invariants do not
// apply to it.
type Disturbance struct {
	Node int
	From time.Time
	// To is zero while it lasts.
	To time.Time
	// PlannedStop is set if the node was terminated in a planned way.
	PlannedStop bool
}

// Resumption is when a node resumed from a freeze, or its network path to the engines was restored.
type Resumption struct {
	Node int
	At   time.Time
}

// History is everything that callers, trainers, the operator and the engines observed.
type History struct {
	mu     sync.Mutex
	Calls  []LiveCall
	Jobs   []*JobRecord
	Probes []Probe
	// Revoked are probes with a key that their configuration revoked.
	Revoked []Probe
	// Usage holds the usage reports as the platform received them.
	Usage       []standin.UsageCall
	Configs     []ConfigRecord
	Drains      []DrainRecord
	Engines     []EngineRecord
	Crashes     []CrashRecord
	Evacuations []*EvacuationRecord
	// InvalidEntryCalls are calls to the address of invalid entries.
	InvalidEntryCalls []InvalidEntryCall
	// BodyReads is when each node first read the body of a pinned item from the store.
	BodyReads    map[bodyRead]time.Time
	Disturbances []*Disturbance
	// Replacements are the periods in which an engine drained or had ended and no other had taken its place.
	Replacements []TimeSpan
	// AnswerFaults are the periods in which an engine answered wrongly or not at all.
	AnswerFaults []TimeSpan
	// Stalls are the periods in which the process of the soak did not run in time, so that times are not those of nodes.
	Stalls []TimeSpan
	// Contention is nil for other schedules.
	Contention *ContentionRecord
	// Resumptions are the ends of freezes and of network faults between nodes and engines.
	Resumptions []Resumption
	// EnginesFence is set if engines reject fencing tokens lower than one that they saw.
	EnginesFence bool
	// ChangedPositions describes the positions of jobs whose result differed between two reads.
	ChangedPositions []string
}

func (h *History) addCall(call LiveCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, call)
}

func (h *History) addJob(job standin.Job, trainer int) *JobRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := &JobRecord{
		Job: job, Tenant: tenantOf(trainer), Key: trainerKey(trainer), SentAt: time.Now(),
		FirstRequestAt: make(map[int]time.Time), FailedReads: make(map[string]int),
	}
	h.Jobs = append(h.Jobs, record)
	return record
}

// recordJobRequest records that a trainer is about to send a request about a job to a node.
func (h *History) recordJobRequest(job *JobRecord, node int) {
	h.update(func() {
		if job.FirstRequestAt[node].IsZero() {
			job.FirstRequestAt[node] = time.Now()
		}
	})
}

// update calls change with mu held.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// recordResults records the results that were read from the given position of a job on.
func (h *History) recordResults(job *JobRecord, from int, results []standin.ItemResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, result := range results {
		position := from + i
		switch {
		case position < len(job.Positions):
			if known := job.Positions[position]; !sameResult(known, result) {
				h.ChangedPositions = append(h.ChangedPositions, fmt.Sprintf("job %s position %d held %+v, then %+v", job.Job.ID, position, known, result))
			}
		case position == len(job.Positions):
			job.Positions = append(job.Positions, result)
		}
	}
	if job.CancelSentAt.IsZero() {
		job.ReadBeforeCancel = len(job.Positions)
	}
	job.Complete = len(job.Positions) == len(job.Job.Items)
	if job.Complete && job.CompletedAt.IsZero() {
		job.CompletedAt = time.Now()
	}
}

func sameResult(one, other standin.ItemResult) bool {
	return one.ID == other.ID && one.State == other.State && one.Text == other.Text &&
		slices.Equal(one.Versions, other.Versions)
}

// addEvacuation records an evacuation that the store has accepted.
func (h *History) addEvacuation(zone string) {
	h.update(func() {
		h.Evacuations = append(h.Evacuations, &EvacuationRecord{Zone: zone, AckedAt: time.Now()})
	})
}

// endEvacuation records that the evacuation of a zone is about to end.
func (h *History) endEvacuation(zone string) {
	h.update(func() {
		for _, each := range h.Evacuations {
			if each.Zone == zone && each.LiftedAt.IsZero() {
				each.LiftedAt = time.Now()
			}
		}
	})
}

// beginDisturbance records that a fault affects a node until the returned function is called.
func (h *History) beginDisturbance(node int) func() {
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

// beginPlannedStop records that a node is being stopped, until the returned function is called.
func (h *History) beginPlannedStop(node int) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	stop := &Disturbance{Node: node, From: time.Now(), PlannedStop: true}
	h.Disturbances = append(h.Disturbances, stop)
	return func() { h.update(func() { stop.To = time.Now() }) }
}

// recordResumption records that a node resumes from a freeze, or that its network path to the engines is
// restored.
func (h *History) recordResumption(node int) {
	h.update(func() { h.Resumptions = append(h.Resumptions, Resumption{Node: node, At: time.Now()}) })
}

// undisturbed reports whether no fault affected a node between from, less the settle time, and to; with
// anyNode, whether none affected any node.
func (h *History) undisturbed(node int, from, to time.Time, settle time.Duration) bool {
	from = from.Add(-settle)
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
