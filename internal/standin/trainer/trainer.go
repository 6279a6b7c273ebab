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

// Trainer is one trainer process.
type Trainer struct {
	config  Config
	client  *client
	store   weightstore.Store
	journal *Journal
}

// New returns a trainer with an empty journal.
func New(config Config) *Trainer { return NewWithJournal(config, NewJournal()) }

// NewWithJournal returns a trainer that goes on where the journal's last
// trainer stopped. The configuration must be the same.
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

// Journal returns the trainer's journal.
func (t *Trainer) Journal() *Journal { return t.journal }

// Handler returns the HTTP interface: GET /v1/report.
func (t *Trainer) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/report", func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusOK, t.Report())
	}).Methods(http.MethodGet)
	return router
}

// Run trains all steps that the journal does not call trained. It returns the
// report also when it fails or ctx ends first.
func (t *Trainer) Run(ctx context.Context) (Report, error) {
	defer t.client.http.HTTP.CloseIdleConnections()
	if err := t.config.validate(); err != nil {
		return t.Report(), err
	}
	err := t.start(ctx)
	for step := t.trained(); err == nil && step < t.config.Steps; step++ {
		err = t.runStep(ctx, step)
	}
	return t.Report(), err
}

func (t *Trainer) trained() int {
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	return t.journal.trained
}

func (t *Trainer) version() uint64 {
	t.journal.mutex.Lock()
	defer t.journal.mutex.Unlock()
	return t.journal.version
}

// start finds the version to begin at, unless the journal names one.
func (t *Trainer) start(ctx context.Context) error {
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

// runStep submits the step and those ahead, collects its samples, and trains.
func (t *Trainer) runStep(ctx context.Context, step int) error {
	began := time.Now()
	for ahead := step; ahead <= step+t.config.Ahead && ahead < t.config.Steps; ahead++ {
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

// collect fetches and acknowledges until every slot of the step has an
// accepted sample, or the system says that it has and the trainer has not.
func (t *Trainer) collect(ctx context.Context, step string) error {
	for {
		if err := t.acknowledgePending(ctx); err != nil {
			return err
		}
		missing := t.wanted() - t.journal.slotsOf(step)
		if missing <= 0 {
			return nil
		}
		response, err := t.client.fetch(ctx, api.FetchRequest{
			Step:           step,
			TrainerVersion: t.version(),
			Holding:        t.journal.holding(),
			Max:            t.config.FetchMax,
			WaitMS:         t.config.FetchWait.Milliseconds(),
		})
		if err != nil {
			return errors.Wrapf(err, "fetch samples of step %s", step)
		}
		if len(response.Samples) == 0 && done(response.Steps, step) {
			t.journal.mutex.Lock()
			t.journal.lost += missing
			t.journal.mutex.Unlock()
			return nil
		}
		t.journal.persist(response.Token, response.Samples, t.countWrongVersions(response.Samples))
	}
}

func done(statuses []api.StepStatus, step string) bool {
	for _, status := range statuses {
		if status.Step == step {
			return status.Done
		}
	}
	return false
}

func (t *Trainer) countWrongVersions(samples []api.Sample) int {
	wrong := 0
	for _, sample := range samples {
		if !namesVersions(sample) || (t.config.CheckTokens && !matchesText(sample)) {
			wrong++
		}
	}
	return wrong
}

// acknowledgePending acknowledges what the journal holds, each delivery under
// its own token. A sample is used only once the answer says accepted.
func (t *Trainer) acknowledgePending(ctx context.Context) error {
	for {
		token, ids := t.journal.nextAcknowledgement()
		if len(ids) == 0 {
			return nil
		}
		if t.config.Pause > 0 && !retry.Sleep(ctx, t.config.Pause) {
			return ctx.Err()
		}
		request := api.AckRequest{Token: token, Samples: ids, TrainerVersion: t.version()}
		response, err := t.client.acknowledge(ctx, request)
		if err != nil {
			return errors.Wrap(err, "acknowledge samples")
		}
		if len(response.Accepted)+len(response.Rejected) == 0 {
			return errors.New("acknowledgement was answered without any sample")
		}
		t.journal.settle(request, response)
	}
}

// train "trains" on the step and publishes the new version.
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
	t.journal.trained++
	t.journal.training += time.Since(trainBegan)
	t.journal.stepTimes = append(t.journal.stepTimes, time.Since(began))
	return nil
}

func (t *Trainer) wanted() int { return t.config.Prompts * t.config.SamplesPerPrompt }
