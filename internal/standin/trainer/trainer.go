package trainer

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

// Trainer is a simulated trainer process.
type Trainer struct {
	config  Config
	client  *client
	store   weightstore.Store
	journal *Journal
}

// New returns a trainer with an empty journal.
func New(config Config) *Trainer { return NewWithJournal(config, NewJournal()) }

// NewWithJournal returns a trainer that resumes from a journal. The configuration must be that of the previous run.
func NewWithJournal(config Config, journal *Journal) *Trainer {
	config = config.withDefaults()
	store := config.Store
	if store == nil && config.WeightStore != "" {
		store = weightstore.NewHTTP(config.WeightStore, nil)
	}
	return &Trainer{
		config:  config,
		client:  newClient(config.Servers, config.Trainer),
		store:   store,
		journal: journal,
	}
}

func (t *Trainer) Journal() *Journal { return t.journal }

// Handler returns the HTTP API: GET /v1/report.
func (t *Trainer) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/report", func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusOK, t.Report())
	}).Methods(http.MethodGet)
	return router
}

// Run trains all steps that the journal does not list as trained. It returns the report even with an error.
func (t *Trainer) Run(ctx context.Context) (Report, error) {
	defer t.client.http.HTTP.CloseIdleConnections()
	if err := t.config.validate(); err != nil {
		return t.Report(), err
	}
	err := t.determineStartVersion(ctx)
	for step := t.trainedSteps(); err == nil && step < t.config.Steps; step++ {
		err = t.runStep(ctx, step)
	}
	return t.Report(), err
}

func (t *Trainer) trainedSteps() int {
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	return t.journal.trainedSteps
}

func (t *Trainer) version() uint64 {
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	return t.journal.version
}

// determineStartVersion determines the first version, unless the journal holds one.
func (t *Trainer) determineStartVersion(ctx context.Context) error {
	if t.version() != 0 {
		return nil
	}
	version := t.config.StartVersion
	if version == 0 {
		err := t.retryStore(ctx, func(ctx context.Context) error {
			info, err := t.store.Info(ctx, t.config.Model)
			version = info.Latest
			return err
		})
		if err != nil {
			return err
		}
	}
	if version == 0 {
		version = 1
		if err := t.publish(ctx, version); err != nil {
			return err
		}
	}
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	t.journal.version = version
	return nil
}

// runStep submits the step and those ahead of it, collects its samples, and trains.
func (t *Trainer) runStep(ctx context.Context, step int) error {
	began := time.Now()
	for ahead := step; ahead <= step+t.config.StepsAhead && ahead < t.config.Steps; ahead++ {
		if _, err := t.client.submit(ctx, t.stepID(ahead), t.stepRequest(ahead)); err != nil {
			return errors.Wrapf(err, "submit step %s", t.stepID(ahead))
		}
	}
	err := t.collect(ctx, t.stepID(step))
	idle := time.Since(began)
	t.journal.mutex.Lock()
	t.journal.idle += idle
	t.journal.mutex.Unlock()
	if err != nil {
		return err
	}
	return t.train(ctx, began)
}

// collect fetches and acknowledges samples until every slot of the step has an accepted one, or the system reports
// the step as done while slots are missing.
func (t *Trainer) collect(ctx context.Context, step string) error {
	for {
		if err := t.acknowledgePending(ctx); err != nil {
			return err
		}
		missing := t.samplesPerStep() - t.journal.filledSlots(step)
		if missing <= 0 {
			return nil
		}
		response, err := t.client.fetch(ctx, api.FetchRequest{
			Step:           step,
			TrainerVersion: t.version(),
			Holding:        t.journal.pendingIDs(),
			Max:            t.config.FetchMax,
			WaitMS:         t.config.FetchWait.Milliseconds(),
		})
		if err != nil {
			return errors.Wrapf(err, "fetch samples of step %s", step)
		}
		if len(response.Samples) == 0 && stepDone(response.Steps, step) {
			t.journal.mutex.Lock()
			t.journal.lost += missing
			t.journal.mutex.Unlock()
			return nil
		}
		t.journal.persist(response.Token, response.Samples, t.countInvalidVersions(response.Samples))
	}
}

func stepDone(statuses []api.StepStatus, step string) bool {
	for _, status := range statuses {
		if status.Step == step {
			return status.Done
		}
	}
	return false
}

func (t *Trainer) countInvalidVersions(samples []api.Sample) int {
	invalid := 0
	for _, sample := range samples {
		if !versionsCoverTokens(sample) || (t.config.CheckTokens && !versionsMatchText(sample)) {
			invalid++
		}
	}
	return invalid
}

// acknowledgePending acknowledges the pending samples, one delivery at a time. A sample is used only once its
// acknowledgement is accepted.
func (t *Trainer) acknowledgePending(ctx context.Context) error {
	for {
		token, ids := t.journal.nextAcknowledgement()
		if len(ids) == 0 {
			return nil
		}
		if t.config.AckDelay > 0 && !retry.Sleep(ctx, t.config.AckDelay) {
			return ctx.Err()
		}
		request := api.AckRequest{Token: token, Samples: ids, TrainerVersion: t.version()}
		response, err := t.client.acknowledge(ctx, request)
		if err != nil {
			return errors.Wrap(err, "acknowledge samples")
		}
		if len(response.Accepted)+len(response.Rejected) == 0 {
			return errors.New("acknowledgement response names no sample")
		}
		t.journal.applyResponse(request, response)
	}
}

// train sleeps for the training time and publishes the new version.
func (t *Trainer) train(ctx context.Context, began time.Time) error {
	trainBegan := time.Now()
	if !retry.Sleep(ctx, t.config.TrainTime) {
		return ctx.Err()
	}
	version := t.version() + 1
	if err := t.publish(ctx, version); err != nil {
		return err
	}
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	t.journal.version = version
	t.journal.trainedSteps++
	t.journal.training += time.Since(trainBegan)
	t.journal.stepTimes = append(t.journal.stepTimes, time.Since(began))
	return nil
}

func (t *Trainer) samplesPerStep() int { return t.config.Prompts * t.config.SamplesPerPrompt }
