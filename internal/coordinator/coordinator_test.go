package coordinator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	standinlog "github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
)

func stepRequest(prompts, samples int) api.StepRequest {
	request := api.StepRequest{SamplesPerPrompt: samples, MaxTokens: 16, TrainerVersion: 1}
	for i := range prompts {
		request.Prompts = append(request.Prompts, api.StepPrompt{Text: fmt.Sprintf("prompt %d", i)})
	}
	return request
}

// awaitSamples fetches until one response has at least the wanted number of samples.
func awaitSamples(t *testing.T, n *node, request api.FetchRequest, wanted int) api.FetchResponse {
	t.Helper()
	var response api.FetchResponse
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		response, err = n.Fetch(t.Context(), trainerName, request)
		if err != nil {
			return poll.Error(err)
		}
		if len(response.Samples) < wanted {
			return poll.Continue("%d samples", len(response.Samples))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	return response
}

func ids(samples []api.Sample) []string {
	list := make([]string, 0, len(samples))
	for _, sample := range samples {
		list = append(list, sample.ID)
	}
	return list
}

func TestStepFromSubmissionToAcknowledgement(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	request := stepRequest(2, 3)
	for _, n := range []*node{a, b, a} {
		status, err := n.SubmitStep(t.Context(), trainerName, "s", request)
		assert.NilError(t, err)
		assert.Equal(t, status.Wanted, 6)
	}
	_, err := a.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 1))
	assertKind(t, err, errkind.StepMismatch)
	large := api.StepRequest{SamplesPerPrompt: 1, Prompts: []api.StepPrompt{{Text: strings.Repeat("x", 5<<20)}}}
	_, err = b.SubmitStep(t.Context(), trainerName, "large", large)
	assertKind(t, err, errkind.PayloadTooLarge)
	_, err = b.StepStatus(t.Context(), trainerName, "unknown")
	assertKind(t, err, errkind.NotFound)
	_, err = a.SubmitStep(t.Context(), "nobody", "s", request)
	assertKind(t, err, errkind.UnknownService)

	response := awaitSamples(t, b, api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}, 6)
	sample := response.Samples[4]
	assert.Equal(t, sample.ID, "s/4/1")
	assert.Equal(t, sample.Prompt, 1)
	assert.Equal(t, sample.Index, 1)
	assert.Equal(t, sample.Text, "0:1 1:1 2:1 3:1 4:1 ")
	assert.DeepEqual(t, sample.Versions, []api.VersionSpan{{Version: 1, From: 0, To: 5}})

	held := api.FetchRequest{Step: "s", TrainerVersion: 1, Holding: ids(response.Samples), WaitMS: 1}
	empty, err := a.Fetch(t.Context(), trainerName, held)
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Samples), 0)

	ack := api.AckRequest{Token: response.Token, Samples: ids(response.Samples), TrainerVersion: 1}
	for _, n := range []*node{a, b} {
		answer, err := n.Acknowledge(t.Context(), trainerName, ack)
		assert.NilError(t, err)
		assert.DeepEqual(t, answer.Accepted, ack.Samples)
		assert.Equal(t, len(answer.Rejected), 0)
	}
	status, err := b.StepStatus(t.Context(), trainerName, "s")
	assert.NilError(t, err)
	assert.Assert(t, status.Done)
	assert.Equal(t, d.engines.runs, 6, "each slot ran once")
}

func TestStaleSamplesAreDiscardedAndRunAgain(t *testing.T) {
	d := newDeployment(t)
	n := d.start("a")
	_, err := n.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 2))
	assert.NilError(t, err)
	fetch := api.FetchRequest{Step: "s", TrainerVersion: 2, WaitMS: 100}
	first := awaitSamples(t, n, fetch, 2)
	assert.Equal(t, first.Samples[0].Versions[0].Version, uint64(1))

	d.engines.update(func(f *fakeRouter) { f.version = 2 })
	d.setBound(0)
	second := awaitSamples(t, n, fetch, 2)
	for _, sample := range second.Samples {
		assert.Equal(t, sample.Versions[0].Version, uint64(2), "the bound was tightened to 0")
	}
	ack := api.AckRequest{Token: first.Token, Samples: ids(first.Samples), TrainerVersion: 2}
	answer, err := n.Acknowledge(t.Context(), trainerName, ack)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Accepted), 0, "discarded samples cannot be accepted")
	status, err := n.StepStatus(t.Context(), trainerName, "s")
	assert.NilError(t, err)
	assert.Equal(t, status.Discarded, 2)
}

func TestRunBeyondStalenessBoundIsCanceled(t *testing.T) {
	d := newDeployment(t)
	hold := make(chan struct{})
	d.engines.hold = hold
	n := d.start("a")
	_, err := n.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 1))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if started := d.requestCount(); started == 0 {
			return poll.Continue("not started")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	d.engines.update(func(f *fakeRouter) { f.version, f.hold = 3, nil })
	response := awaitSamples(t, n, api.FetchRequest{Step: "s", TrainerVersion: 3, WaitMS: 100}, 1)
	assert.Equal(t, response.Samples[0].Versions[0].Version, uint64(3))
	assert.Equal(t, response.Samples[0].ID, "s/0/1", "the held answer was never recorded")
	d.engines.update(func(f *fakeRouter) {
		assert.Equal(t, f.requests[len(f.requests)-1].MinVersion, uint64(2))
	})
}

func (d *deployment) requestCount() int {
	count := 0
	d.engines.update(func(f *fakeRouter) { count = len(f.requests) })
	return count
}

func TestTakeoverKeepsDeliveries(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	owner := d.awaitOwner(a, b)
	other := map[*node]*node{a: b, b: a}[owner]
	_, err := other.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 2))
	assert.NilError(t, err)
	fetch := api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}
	response := awaitSamples(t, other, fetch, 2)

	owner.stop()
	d.setState(owner.id, cluster.StateDead)
	ack := api.AckRequest{Token: response.Token, Samples: ids(response.Samples)[:1], TrainerVersion: 1}
	answer, err := other.Acknowledge(t.Context(), trainerName, ack)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Accepted, ack.Samples)
	again := awaitSamples(t, other, fetch, 1)
	assert.DeepEqual(t, again.Samples, response.Samples[1:]) // the new owner reads them from the log
	assert.Assert(t, again.Token > response.Token)
	assert.Equal(t, d.engines.runs, 2, "recorded samples are not run again")
}

func TestPausedOwnerIsFenced(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	owner := d.awaitOwner(a, b)
	other := map[*node]*node{a: b, b: a}[owner]
	_, err := owner.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 2))
	assert.NilError(t, err)
	fetch := api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}
	before := awaitSamples(t, owner, fetch, 2)

	stale := owner.tenure(trainerName)
	owner.log.setPaused(true)
	d.setState(owner.id, cluster.StateDead)
	d.awaitOwner(other)
	after := awaitSamples(t, other, fetch, 2)

	type outcome struct {
		response Response
		err      error
	}
	outcomes := make(chan outcome, 3)
	for _, call := range []Call{
		{Fetch: &fetch},
		{Acknowledge: &api.AckRequest{Token: before.Token, Samples: ids(before.Samples), TrainerVersion: 1}},
		{Submit: &SubmitCall{Step: "t", Request: stepRequest(1, 1)}},
	} {
		go func() {
			response, err := stale.handleCall(t.Context(), call)
			outcomes <- outcome{response, err}
		}()
	}
	owner.log.setPaused(false)
	for range cap(outcomes) {
		result := <-outcomes
		assertKind(t, result.err, errkind.NotOwner)
	}
	<-stale.ended
	ack := api.AckRequest{Token: after.Token, Samples: ids(after.Samples), TrainerVersion: 1}
	response, err := other.Acknowledge(t.Context(), trainerName, ack)
	assert.NilError(t, err)
	assert.DeepEqual(t, response.Accepted, ack.Samples)
	_, err = other.StepStatus(t.Context(), trainerName, "t")
	assertKind(t, err, errkind.NotFound)
}

func TestDrainReleasesLedgerToAnotherNode(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	owner := d.awaitOwner(a, b)
	other := map[*node]*node{a: b, b: a}[owner]
	hold := make(chan struct{})
	d.engines.update(func(f *fakeRouter) { f.hold = hold })
	_, err := owner.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 1))
	assert.NilError(t, err)
	fetched := make(chan error, 1)
	go func() {
		_, err := other.Fetch(t.Context(), trainerName, api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 60000})
		fetched <- err
	}()
	d.setState(owner.id, cluster.StateLeaving)
	assert.NilError(t, owner.Drain(t.Context()))
	assert.Equal(t, len(owner.Statuses()), 0)
	d.awaitOwner(other)
	close(hold)
	assert.NilError(t, <-fetched, "a pending fetch is not aborted")
	awaitSamples(t, owner, api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}, 1)
}

// Runs the simulated trainer over HTTP with lost log responses, an owner failure
// and a trainer restart: no sample may be lost or acknowledged twice.
func TestTrainerCompletesStepsDespiteFaults(t *testing.T) {
	d := newDeployment(t)
	d.log.SetControl(standinlog.Control{LostResponseShare: 0.3, EffectDelayMS: 20, RefuseShare: 0.1})
	a, b, c := d.start("a"), d.start("b"), d.start("c")
	config := trainer.Config{
		Servers: []string{a.server.URL, b.server.URL, c.server.URL},
		Trainer: trainerName, Steps: 4, StepsAhead: 1, Prompts: 3, SamplesPerPrompt: 4, MaxTokens: 16,
		Seed: 7, TrainTime: time.Millisecond, Store: d.engines, Model: "m", StalenessBound: 1,
		FetchMax: 5, FetchWait: time.Second, CheckTokens: true,
	}
	journal := trainer.NewJournal()
	first, stopFirst := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	running := trainer.NewWithJournal(config, journal)
	go func() {
		_, err := running.Run(first)
		stopped <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(stopped) > 0 {
			return poll.Error(<-stopped)
		}
		if len(journal.Accepted()) < 5 {
			steps := slices.Concat(a.Statuses(), b.Statuses(), c.Statuses())
			return poll.Continue("report %+v, steps %+v", running.Report(), steps)
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(time.Millisecond))
	owner := d.awaitOwner(a, b, c)
	owner.stop()
	d.setState(owner.id, cluster.StateDead)
	stopFirst()
	<-stopped
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	report, err := trainer.NewWithJournal(config, journal).Run(ctx)
	assert.NilError(t, err)
	assert.Equal(t, report.SamplesAcknowledged, 48)
	assert.Equal(t, report.SamplesWanted, 48)
	assert.Assert(t, !report.ViolatesGuarantees(), "%+v", report)
	assert.Equal(t, report.StepsTrained, 4)
}
