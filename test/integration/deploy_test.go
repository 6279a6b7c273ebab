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

// patience bounds every wait for a condition, generously.
const patience = 60 * time.Second

// Services of the test deployment.
const (
	lookupService = "clerk-lookup"
	permitService = "permit-desk"
	trainerName   = "comparables"

	lookupModel  = "clerk"
	trainerModel = "comparables"
	pool         = "shared"
)

// trainerBound is the staleness bound of the trainer's row.
const trainerBound = 2

const tableHeader = "service,kind,pool,model,version,priority,share,staleness,cap,repeatable,zones,floor"

var defaultRows = []string{
	"clerk-lookup,live,shared,clerk,latest,9,100,-,-,yes,*,50",
	"permit-desk,live,shared,clerk,latest,9,100,-,-,no,*,50",
	"comparables,trainer,shared,comparables,latest,3,100,2,-,yes,*,50",
}

func table(rows ...string) string {
	return tableHeader + "\n" + strings.Join(rows, "\n") + "\n"
}

// defaultConfig is three nodes and four engines in two zones, with a proxy on
// each link.
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
		Table:  table(defaultRows...),
		Faults: true,
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

// deploymentsAtOnce bounds the deployments that run at the same time, each with
// a dozen processes: more would leave their processors too little for promises
// that have a bound in time.
const deploymentsAtOnce = 3

var deploymentSlots = make(chan struct{}, deploymentsAtOnce)

// deploy starts a deployment that ends with the test and waits until every node
// answers a live call.
func deploy(t *testing.T, change ...func(*topology.Config)) *topology.Deployment {
	t.Helper()
	config := defaultConfig(t)
	for _, apply := range change {
		apply(&config)
	}
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	deployment, err := topology.Start(limit(t), config)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			showLogs(t, deployment)
		}
		deployment.Close()
	})
	for _, node := range deployment.Nodes() {
		waitServing(t, node)
	}
	return deployment
}

// shownLines is how many of its last log lines a failed test shows of each node.
const shownLines = 25

func showLogs(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	for _, node := range deployment.Nodes() {
		if node.Process() == nil {
			continue
		}
		lines := node.Process().Logs()
		lines = lines[max(0, len(lines)-shownLines):]
		t.Logf("last lines of %s:\n%s", node.ID, strings.Join(lines, "\n"))
	}
}

// limit returns a context that bounds one wait.
func limit(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// eventually polls a condition until it holds.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	assert.NilError(t, topology.WaitFor(limit(t), what, condition))
}

func waitServing(t *testing.T, node *topology.Node) {
	t.Helper()
	client := live.NewClient()
	defer client.Close()
	call := live.Call{Address: node.Callers, Service: lookupService, Prompt: "is " + node.ID + " serving? [tokens=1]", MaxTokens: 1}
	eventually(t, node.ID+" to serve", func() error {
		outcome := client.Send(limit(t), call)
		if !outcome.OK() {
			return errors.Errorf("answer: status %d, code %q, transport %q, faults %q",
				outcome.Status, outcome.Code, outcome.TransportError, outcome.Faults)
		}
		return nil
	})
}

// restart starts a node that ended and waits until it serves.
func restart(t *testing.T, node *topology.Node) {
	t.Helper()
	assert.NilError(t, node.Start(limit(t)))
	assert.NilError(t, node.WaitReady(limit(t)))
	waitServing(t, node)
}

// runningLoad is a live load in the background.
type runningLoad struct {
	recorder *live.Recorder
	cancel   context.CancelFunc
	ended    chan error
}

// startLoad sends load until stop, or its own end.
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

// stop ends the arrivals and returns the history after the last answer.
func (r *runningLoad) stop(t *testing.T) history.Outcomes {
	t.Helper()
	r.cancel()
	return r.wait(t)
}

// wait returns the history after the load's own end.
func (r *runningLoad) wait(t *testing.T) history.Outcomes {
	t.Helper()
	assert.NilError(t, <-r.ended)
	outcomes := r.recorder.Outcomes()
	t.Logf("callers: %+v", r.recorder.Summary())
	return outcomes
}

// waitOK waits until that many more calls were answered whole.
func (r *runningLoad) waitOK(t *testing.T, more int) {
	t.Helper()
	wanted := r.recorder.Summary().OK + more
	eventually(t, "calls answered whole", func() error {
		if have := r.recorder.Summary().OK; have < wanted {
			return errors.Errorf("%d of %d; %+v", have, wanted, r.recorder.Summary())
		}
		return nil
	})
}

// busiest waits until an engine runs requests and returns the one that runs most.
func busiest(t *testing.T, deployment *topology.Deployment) *topology.Engine {
	t.Helper()
	var found *topology.Engine
	eventually(t, "requests to run", func() error {
		most := 0
		for _, engine := range deployment.Engines() {
			status, err := engine.Status(limit(t))
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

// holds fails the test with every violation found.
func holds(t *testing.T, violations []history.Violation) {
	t.Helper()
	assert.Check(t, len(violations) == 0, "%d violations:\n%s", len(violations), history.Report(violations))
}

// executionsOf returns all requests that engines started so far, those of killed
// engines included.
func executionsOf(t *testing.T, deployment *topology.Deployment) []history.Execution {
	t.Helper()
	histories, err := deployment.Histories()
	assert.NilError(t, err)
	return history.Executions(histories...)
}

// checkAnswers checks all that callers' histories can tell. With allowBroken
// false, no call may end without an answer or an error.
func checkAnswers(t *testing.T, outcomes history.Outcomes, executions []history.Execution, allowBroken bool) {
	t.Helper()
	holds(t, history.CheckComplete(outcomes, allowBroken))
	holds(t, history.CheckOwnAnswer(outcomes, executions))
	holds(t, history.CheckNotExecuted(outcomes, executions))
}
