package trainer

import (
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Journal is a trainer's durable state: its version, its pending samples and the accepted ones. Passing the same
// Journal to a new Trainer simulates a restart. It is safe for concurrent use.
type Journal struct {
	mutex sync.Mutex
	// version is the trainer's weight version; 0 before the first run.
	version      uint64
	trainedSteps int
	pending      map[string]pendingSample
	// accepted holds the accepted samples, in order.
	accepted       []AcceptedSample
	acceptedIDs    map[string]bool
	acceptedBySlot map[slotID]int
	rejected       int
	// invalidVersions is the number of fetched samples whose spans do not cover their tokens or do not match their text.
	invalidVersions int
	// lost is the number of slots that the system reported as acknowledged without a sample accepted here.
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
	// TrainerVersion is the version sent with the acknowledgement.
	TrainerVersion uint64    `json:"trainer_version"`
	At             time.Time `json:"at"`
}

// Staleness returns how many versions the sample's oldest span is behind the trainer's version; 0 if none is.
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
		pending:        make(map[string]pendingSample),
		acceptedIDs:    make(map[string]bool),
		acceptedBySlot: make(map[slotID]int),
	}
}

// Accepted returns a copy of the accepted samples, in order.
func (j *Journal) Accepted() []AcceptedSample {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.accepted)
}

// persist stores fetched samples with their delivery's token.
func (j *Journal) persist(token int64, samples []api.Sample, invalidVersions int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.invalidVersions += invalidVersions
	for _, sample := range samples {
		if !j.acceptedIDs[sample.ID] {
			j.pending[sample.ID] = pendingSample{sample: sample, token: token}
		}
	}
}

// pendingIDs returns the sorted IDs of the pending samples.
func (j *Journal) pendingIDs() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	ids := make([]string, 0, len(j.pending))
	for id := range j.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// nextAcknowledgement returns the pending samples with the lowest token.
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

// applyResponse applies the response to an acknowledgement.
func (j *Journal) applyResponse(request api.AckRequest, response api.AckResponse) {
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
	j.acceptedIDs[id] = true
	j.acceptedBySlot[slotOf(pending.sample)]++
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

// filledSlots returns the number of slots of a step that have an accepted sample.
func (j *Journal) filledSlots(step string) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	count := 0
	for slot := range j.acceptedBySlot {
		if slot.step == step {
			count++
		}
	}
	return count
}
