package trainer

import (
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Journal is what a trainer keeps across restarts: its version, the samples
// that it fetched and not yet saw confirmed, and those that it may use. Hand
// the same Journal to a new Trainer to simulate a restart. It is safe for
// concurrent use.
type Journal struct {
	mutex sync.Mutex
	// version is the weight version that the trainer is at; 0 before the first run.
	version uint64
	// trained counts the steps that were trained on.
	trained int
	pending map[string]pendingSample
	// accepted has all accepted samples, in order.
	accepted []AcceptedSample
	byID     map[string]bool
	bySlot   map[slotID]int
	rejected int
	// wrongVersions counts fetched samples whose spans do not cover their
	// tokens or do not match the tokens' texts.
	wrongVersions int
	// lost counts slots that the system called acknowledged and the trainer
	// never got.
	lost      int
	stepTimes []time.Duration
	idle      time.Duration
	training  time.Duration
}

type pendingSample struct {
	sample api.Sample
	token  int64
}

type slotID struct {
	step   string
	prompt int
	index  int
}

// AcceptedSample is a sample whose acknowledgement was accepted.
type AcceptedSample struct {
	Sample api.Sample `json:"sample"`
	Token  int64      `json:"token"`
	// TrainerVersion is the version that the trainer named with the acknowledgement.
	TrainerVersion uint64    `json:"trainer_version"`
	At             time.Time `json:"at"`
}

// Staleness is how many versions the sample's oldest span lies behind the
// trainer's version; 0 for spans that are newer.
func (a AcceptedSample) Staleness() uint64 {
	stale := uint64(0)
	for _, span := range a.Sample.Versions {
		if span.Version < a.TrainerVersion {
			stale = max(stale, a.TrainerVersion-span.Version)
		}
	}
	return stale
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		pending: make(map[string]pendingSample),
		byID:    make(map[string]bool),
		bySlot:  make(map[slotID]int),
	}
}

// Accepted returns a copy of the accepted samples, in order.
func (j *Journal) Accepted() []AcceptedSample {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.accepted)
}

// persist keeps fetched samples under their delivery's token.
func (j *Journal) persist(token int64, samples []api.Sample, wrongVersions int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.wrongVersions += wrongVersions
	for _, sample := range samples {
		if !j.byID[sample.ID] {
			j.pending[sample.ID] = pendingSample{sample: sample, token: token}
		}
	}
}

// holding returns the IDs of the pending samples, sorted.
func (j *Journal) holding() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	ids := make([]string, 0, len(j.pending))
	for id := range j.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// nextAcknowledgement returns the pending samples of the lowest token.
func (j *Journal) nextAcknowledgement() (token int64, ids []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, pending := range j.pending {
		if token == 0 || pending.token < token {
			token = pending.token
		}
	}
	for id, pending := range j.pending {
		if pending.token == token {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return token, ids
}

// settle notes the answer to an acknowledgement.
func (j *Journal) settle(request api.AckRequest, response api.AckResponse) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, id := range response.Accepted {
		j.accept(id, request)
	}
	for _, id := range response.Rejected {
		if _, known := j.pending[id]; known {
			delete(j.pending, id)
			j.rejected++
		}
	}
}

func (j *Journal) accept(id string, request api.AckRequest) {
	pending, known := j.pending[id]
	if !known {
		return
	}
	delete(j.pending, id)
	j.byID[id] = true
	j.bySlot[slotOf(pending.sample)]++
	j.accepted = append(j.accepted, AcceptedSample{
		Sample:         pending.sample,
		Token:          request.Token,
		TrainerVersion: request.TrainerVersion,
		At:             time.Now(),
	})
}

func slotOf(sample api.Sample) slotID {
	return slotID{step: sample.Step, prompt: sample.Prompt, index: sample.Index}
}

// slotsOf counts the slots of a step that have an accepted sample.
func (j *Journal) slotsOf(step string) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	count := 0
	for slot := range j.bySlot {
		if slot.step == step {
			count++
		}
	}
	return count
}
