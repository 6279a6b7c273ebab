package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/test/history"
)

// waitTimeout bounds each wait for a condition.
const waitTimeout = 60 * time.Second

// Names of services, models and the engine pool of the test deployment.
const (
	lookupService = "clerk-lookup"
	permitService = "permit-desk"
	trainerName   = "comparables"

	lookupModel  = "clerk"
	trainerModel = "comparables"
	pool         = "shared"
)

// trainerStalenessBound is the staleness bound of the trainer's table row.
const trainerStalenessBound = 2

const tableHeader = "service,kind,pool,model,version,priority,share,staleness,cap,repeatable,zones,floor"

var defaultRows = []string{
	"clerk-lookup,live,shared,clerk,latest,9,100,-,-,yes,*,50",
	"permit-desk,live,shared,clerk,latest,9,100,-,-,no,*,50",
	"comparables,trainer,shared,comparables,latest,3,100,2,-,yes,*,50",
}

func table(rows ...string) string {
	return tableHeader + "\n" + strings.Join(rows, "\n") + "\n"
}

// defaultConfig returns three nodes and four engines in two zones, with a fault-injecting proxy on each link.
func defaultConfig(t *testing.T) topology.Config {
	t.Helper()
	config := topology.Config{
		Binaries:  binaries,
		Directory: t.TempDir(),
		Region:    "pnw",
		Nodes: []topology.NodeConfig{
			{ID: "n1", Zone: "tumwater"},
			{ID: "n2", Zone: "tumwater"},
			{ID: "n3", Zone: "hillsboro"},
		},
		Models: []topology.ModelConfig{
			{Name: lookupModel, Version: 1, SizeBytes: 1 << 20},
			{Name: trainerModel, Version: 1, SizeBytes: 1 << 20},
		},
		Table:        table(defaultRows...),
		FaultProxies: true,
	}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		zone := "tumwater"
		if id == "e4" {
			zone = "hillsboro"
		}
		config.Engines = append(config.Engines, topology.EngineConfig{
			ID: id, Zone: zone, Pool: pool,
			Models:        []string{lookupModel + "@1", trainerModel + "@1"},
			MaxBatch:      16,
			TokenInterval: 2 * time.Millisecond,
			LoadTime:      20 * time.Millisecond,
			Arguments:     []string{"--report-interval", "20ms"},
		})
	}
	return config
}

// maxConcurrentDeployments bounds the deployments, of a dozen processes each, that run at once: tests with
// time bounds need enough processor time.
const maxConcurrentDeployments = 3

var deploymentSlots = make(chan struct{}, maxConcurrentDeployments)

// deploy starts a deployment that ends with the test and waits until every node answers a live call.
func deploy(t *testing.T, change ...func(*topology.Config)) *topology.Deployment {
	t.Helper()
	config := defaultConfig(t)
	for _, apply := range change {
		apply(&config)
	}
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	deployment, err := topology.Start(waitContext(t), config)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			logNodeTails(t, deployment)
		}
		deployment.Close()
	})
	for _, node := range deployment.Nodes() {
		waitServing(t, node)
	}
	return deployment
}

// logTailLines is the number of log lines that a failed test prints of each node.
const logTailLines = 25

func logNodeTails(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	for _, node := range deployment.Nodes() {
		if node.Process() == nil {
			continue
		}
		lines := node.Process().Logs()
		lines = lines[max(0, len(lines)-logTailLines):]
		t.Logf("last lines of %s:\n%s", node.ID, strings.Join(lines, "\n"))
	}
}

// waitContext returns a context that bounds one wait.
func waitContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// eventually polls a condition until it holds.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	assert.NilError(t, topology.WaitFor(waitContext(t), what, condition))
}

func waitServing(t *testing.T, node *topology.Node) {
	t.Helper()
	client := live.NewClient()
	defer client.Close()
	call := live.Call{Address: node.Callers, Service: lookupService, Prompt: "is " + node.ID + " serving? [tokens=1]", MaxTokens: 1}
	eventually(t, node.ID+" to serve", func() error {
		outcome := client.Send(waitContext(t), call)
		if !outcome.OK() {
			return errors.Errorf("call failed: status %d, code %q, transport error %q, violations %q",
				outcome.Status, outcome.Code, outcome.TransportError, outcome.Violations)
		}
		return nil
	})
}

// restart starts a stopped node and waits until it serves.
func restart(t *testing.T, node *topology.Node) {
	t.Helper()
	assert.NilError(t, node.Start(waitContext(t)))
	assert.NilError(t, node.WaitReady(waitContext(t)))
	waitServing(t, node)
}

// runningLoad is a live load that runs in the background.
type runningLoad struct {
	recorder *live.Recorder
	cancel   context.CancelFunc
	ended    chan error
}

// startLoad runs a load until stop or until its duration is over.
func startLoad(t *testing.T, load live.Load) *runningLoad {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	running := &runningLoad{recorder: live.NewRecorder(), cancel: cancel, ended: make(chan error, 1)}
	client := live.NewSingleUseClient()
	go func() {
		defer client.Close()
		running.ended <- load.Run(ctx, client, running.recorder)
	}()
	t.Cleanup(cancel)
	return running
}

// stop ends the load and returns the history once all calls have ended.
func (r *runningLoad) stop(t *testing.T) history.Outcomes {
	t.Helper()
	r.cancel()
	return r.wait(t)
}

// wait returns the history once the load and all calls have ended.
func (r *runningLoad) wait(t *testing.T) history.Outcomes {
	t.Helper()
	assert.NilError(t, <-r.ended)
	outcomes := r.recorder.Outcomes()
	t.Logf("callers: %+v", r.recorder.Summary())
	return outcomes
}

// waitOK waits until the given number of further calls were answered completely.
func (r *runningLoad) waitOK(t *testing.T, more int) {
	t.Helper()
	wanted := r.recorder.Summary().OK + more
	eventually(t, "calls to be answered completely", func() error {
		if have := r.recorder.Summary().OK; have < wanted {
			return errors.Errorf("%d of %d; %+v", have, wanted, r.recorder.Summary())
		}
		return nil
	})
}

// busiestEngine waits until an engine runs requests and returns the one that runs most.
func busiestEngine(t *testing.T, deployment *topology.Deployment) *topology.Engine {
	t.Helper()
	var found *topology.Engine
	eventually(t, "requests to run", func() error {
		most := 0
		for _, engine := range deployment.Engines() {
			status, err := engine.Status(waitContext(t))
			if err == nil && status.Running > most {
				most, found = status.Running, engine
			}
		}
		if found == nil {
			return errors.New("all engines are idle")
		}
		return nil
	})
	return found
}

func assertNoViolations(t *testing.T, violations []history.Violation) {
	t.Helper()
	assert.Check(t, len(violations) == 0, "%d violations:\n%s", len(violations), history.Report(violations))
}

// executionsOf returns all requests that engines started so far, including those of killed engines.
func executionsOf(t *testing.T, deployment *topology.Deployment) []history.Execution {
	t.Helper()
	histories, err := deployment.Histories()
	assert.NilError(t, err)
	return history.Executions(histories...)
}

// checkAnswers checks the callers' history. Unless allowInterrupted is set, every call must end with a response or an
// error.
func checkAnswers(t *testing.T, outcomes history.Outcomes, executions []history.Execution, allowInterrupted bool) {
	t.Helper()
	assertNoViolations(t, history.CheckComplete(outcomes, allowInterrupted))
	assertNoViolations(t, history.CheckOwnAnswer(outcomes, executions))
	assertNoViolations(t, history.CheckNotExecuted(outcomes, executions))
}
