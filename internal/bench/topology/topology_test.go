package topology

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	enginestandin "github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
)

const waitTimeout = time.Minute

func timeoutContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startStandins(t *testing.T) *Deployment {
	t.Helper()
	directory := t.TempDir()
	bench := filepath.Join(directory, "corkbench")
	assert.NilError(t, build(timeoutContext(t), bench, benchPackage))
	deployment, err := Start(timeoutContext(t), Config{
		Binaries:  Binaries{Bench: bench},
		Directory: directory,
		Models:    []ModelConfig{{Name: "clerk", Version: 1, SizeBytes: 1 << 10}},
		Engines: []EngineConfig{
			{ID: "e1", Zone: "a", Pool: "p", Models: []string{"clerk@1"}, MaxBatch: 4, TokenInterval: time.Millisecond},
			{ID: "e2", Zone: "b", Pool: "p", Models: []string{"clerk@1"}, LoadTime: time.Millisecond},
		},
		FaultProxies: true,
	})
	assert.NilError(t, err)
	t.Cleanup(deployment.Close)
	return deployment
}

func generate(t *testing.T, address, id string) error {
	t.Helper()
	client := enginehttp.NewHTTP(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	request := engine.GenerateRequest{RequestID: id, Attempt: 1, Model: "clerk", Prompt: "x [tokens=3]", MaxTokens: 8}
	stream, err := client.Generate(timeoutContext(t), address, request)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		if _, err := stream.Receive(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

func TestDeploymentProxiesAndRestartsStandins(t *testing.T) {
	deployment := startStandins(t)
	list := machines.NewHTTP("http://"+deployment.Platform.Machines, deployment.http)
	first := deployment.Engine("e1")
	assert.NilError(t, WaitFor(timeoutContext(t), "engines to register", func() error {
		listed, err := list.List(timeoutContext(t))
		if err == nil && len(listed.Machines) != 2 {
			err = errors.Errorf("%d machines", len(listed.Machines))
		}
		return err
	}))
	listed, err := list.List(timeoutContext(t))
	assert.NilError(t, err)
	assert.Equal(t, listed.Machines[0], first.MachineEntry(machines.StateLive))
	assert.Equal(t, listed.Machines[0].Address, first.Link.Address())

	store := weightstore.NewHTTP("http://"+deployment.Platform.WeightStore, deployment.http)
	information, err := store.Info(timeoutContext(t), "clerk")
	assert.NilError(t, err)
	assert.Equal(t, information.Latest, uint64(1))

	assert.NilError(t, generate(t, first.Link.Address(), "r1"))
	histories, err := deployment.Histories()
	assert.NilError(t, err)
	assert.Equal(t, histories[0].Requests[0].RequestID, "r1")

	first.Link.Cut()
	assert.Assert(t, generate(t, first.Link.Address(), "r2") != nil)
	assert.NilError(t, first.Link.Restore())
	first.Kill()
	assert.Assert(t, !first.Running())
	assert.NilError(t, first.Start(timeoutContext(t)))
	assert.NilError(t, generate(t, first.Link.Address(), "r3"))
	histories, err = deployment.Histories()
	assert.NilError(t, err)
	assert.Equal(t, len(histories), 3)
	assert.Equal(t, histories[0].Requests[0].RequestID, "r1", "a killed engine's history is kept")
	assert.DeepEqual(t, histories[1].Requests[0].Spans, []enginestandin.Span{{Version: 1, From: 0, To: 3}})
}

func TestDeploymentControlsStandinsAndTerminatesEngine(t *testing.T) {
	deployment := startStandins(t)
	assert.NilError(t, deployment.ControlLog(timeoutContext(t), logservice.Control{Down: true}))
	assert.Assert(t, deployment.call(timeoutContext(t), http.MethodGet, deployment.Platform.Log, "/v1/read?stream=s", nil, nil) != nil)
	second := deployment.Engine("e2")
	drain := true
	assert.NilError(t, second.Control(timeoutContext(t), enginestandin.Control{Drain: &drain}))
	status, err := second.Status(timeoutContext(t))
	assert.NilError(t, err)
	assert.Equal(t, status.State, engine.StateDraining)
	code, err := second.Terminate(timeoutContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0, "%q", second.Process().Logs())
	first := deployment.Engine("e1").Process()
	deployment.Close()
	<-first.Exited()
}

func TestStartRejectsInvalidConfig(t *testing.T) {
	for want, config := range map[string]Config{
		"corkbench binary":         {Directory: "d"},
		"directory":                {Binaries: Binaries{Bench: "b"}},
		"daemon binary":            {Binaries: Binaries{Bench: "b"}, Directory: "d", Nodes: []NodeConfig{{ID: "n", Zone: "z"}}},
		"no nodes":                 {Binaries: Binaries{Bench: "b"}, Directory: "d", Table: "x"},
		"duplicate machine ID":     {Binaries: Binaries{Bench: "b"}, Directory: "d", Engines: []EngineConfig{{ID: "e", Zone: "z"}, {ID: "e", Zone: "z"}}},
		"ID and zone are required": {Binaries: Binaries{Bench: "b"}, Directory: "d", Engines: []EngineConfig{{ID: "e"}}},
	} {
		_, err := Start(t.Context(), config)
		assert.ErrorContains(t, err, want)
	}
}
