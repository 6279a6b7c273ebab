package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
	"github.com/corkpulley/corkpulley/test/history"
)

// newLookupLoad returns a load of repeatable live calls to all nodes.
func newLookupLoad(deployment *topology.Deployment, rate float64, tokens int) live.Load {
	return live.Load{
		Addresses: deployment.CallerAddresses(), Service: lookupService,
		Rate: rate, Duration: 10 * time.Minute, Seed: 1, MaxTokens: 1024, Tokens: tokens,
		TokenSpread: 7, PrefixGroups: 3, PrefixBytes: 256, StreamShare: 0.6,
	}
}

// newPermitLoad returns a load of live calls with idempotency keys that must run at most once.
func newPermitLoad(deployment *topology.Deployment, rate float64, tokens int) live.Load {
	return live.Load{
		Addresses: deployment.CallerAddresses(), Service: permitService,
		Rate: rate, Duration: 10 * time.Minute, Seed: 2, MaxTokens: 1024, Tokens: tokens,
		TokenSpread: 7, StreamShare: 0.5, WithIdempotencyKeys: true,
	}
}

// trainerRun is a trainer that runs in the background.
type trainerRun struct {
	config  trainer.Config
	trainer *trainer.Trainer
	report  trainer.Report
	ended   chan error
}

// startTrainer trains the given number of steps and publishes a weight version after each.
func startTrainer(t *testing.T, deployment *topology.Deployment, steps int) *trainerRun {
	t.Helper()
	config := trainer.Config{
		Servers: deployment.CallerURLs(), Trainer: trainerName, Steps: steps, StepsAhead: 1,
		Prompts: 4, SamplesPerPrompt: 4, MaxTokens: 200, Groups: 2, PrefixBytes: 128, Seed: 5,
		TrainTime: 50 * time.Millisecond, FetchWait: time.Second,
		WeightStore: "http://" + deployment.Platform.WeightStore, Model: trainerModel,
		StalenessBound: trainerStalenessBound, CheckTokens: true,
	}
	running := &trainerRun{config: config, trainer: trainer.New(config), ended: make(chan error, 1)}
	go func() {
		var err error
		running.report, err = running.trainer.Run(t.Context())
		running.ended <- err
	}()
	return running
}

// wanted returns all slots that the trainer requests.
func (r *trainerRun) wanted() []history.Slot {
	var wanted []history.Slot
	for _, step := range r.trainer.StepIDs() {
		for prompt := range r.config.Prompts {
			for index := range r.config.SamplesPerPrompt {
				wanted = append(wanted, history.Slot{Trainer: trainerName, Step: step, Prompt: prompt, Index: index})
			}
		}
	}
	return wanted
}

// deliveries returns the samples whose acknowledgements were accepted.
func (r *trainerRun) deliveries(t *testing.T) []history.Delivery {
	t.Helper()
	var deliveries []history.Delivery
	for _, accepted := range r.trainer.Journal().Accepted() {
		text, known := r.trainer.PromptText(accepted.Sample.Step, accepted.Sample.Prompt)
		assert.Check(t, known, "sample %s is for an unknown prompt", accepted.Sample.ID)
		deliveries = append(deliveries, history.Delivery{
			Trainer: trainerName, Sample: accepted.Sample, PromptText: text,
			TrainerVersion: accepted.TrainerVersion, StalenessBound: r.config.StalenessBound, Accepted: accepted.At,
		})
	}
	return deliveries
}

// check waits for the trainer to end and checks its report and history.
func (r *trainerRun) check(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	select {
	case err := <-r.ended:
		assert.NilError(t, err)
	case <-waitContext(t).Done():
		t.Fatal("trainer did not end in time")
	}
	t.Logf("trainer: %d of %d samples, %d rejected, staleness at most %d",
		r.report.SamplesAcknowledged, r.report.SamplesWanted, r.report.Rejected, r.report.StalenessMax)
	assert.Check(t, !r.report.ViolatesGuarantees(), "%+v", r.report)
	assert.Equal(t, r.report.SamplesAcknowledged, r.report.SamplesWanted)
	deliveries := r.deliveries(t)
	assertNoViolations(t, history.CheckExactlyOnce(r.wanted(), deliveries))
	assertNoViolations(t, history.CheckStaleness(deliveries))
	assertNoViolations(t, history.CheckProvenance(deliveries, executionsOf(t, deployment)))
}

// promptsOf returns the prompts of a history.
func promptsOf(outcomes history.Outcomes) []string {
	prompts := make([]string, 0, len(outcomes))
	for i := range outcomes {
		prompts = append(prompts, outcomes[i].Call.Prompt)
	}
	return prompts
}

// Without faults, every call is answered completely and every sample acknowledged once.
func TestFaultFreePath(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	lookupLoad := startLoad(t, newLookupLoad(deployment, 20, 40))
	permitLoad := startLoad(t, newPermitLoad(deployment, 5, 10))
	training := startTrainer(t, deployment, 3)
	lookupLoad.waitOK(t, 40)
	permitLoad.waitOK(t, 10)
	training.check(t, deployment)
	lookupOutcomes, permitOutcomes := lookupLoad.stop(t), permitLoad.stop(t)
	executions := executionsOf(t, deployment)
	for _, outcomes := range []history.Outcomes{lookupOutcomes, permitOutcomes} {
		checkAnswers(t, outcomes, executions, false)
		for i := range outcomes {
			assert.Check(t, outcomes[i].OK(), "%+v", outcomes[i])
		}
	}
	assertNoViolations(t, history.CheckAtMostOnce(promptsOf(permitOutcomes), executions))
	assert.Assert(t, history.Linearizable(history.KeyedModel(), history.KeyedOperations(permitOutcomes)))
	assert.NilError(t, deployment.StopNodes(waitContext(t)))
}
