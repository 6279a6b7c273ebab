package topology

import (
	"context"
	"net/http"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/engine"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
)

// Engine is one engine stand-in of a deployment.
type Engine struct {
	machine
	Pool string
	// Address is the address that the engine listens on, without the proxy.
	Address string
	// Link is the proxy for all traffic from the nodes; nil without Config.FaultProxies.
	Link   *faultproxy.Link
	config EngineConfig
}

func (d *Deployment) newEngine(config EngineConfig) (*Engine, error) {
	address, err := process.FreeAddress()
	if err != nil {
		return nil, err
	}
	created := &Engine{
		machine: machine{ID: config.ID, Zone: config.Zone, deployment: d},
		Pool:    config.Pool,
		Address: address,
		config:  config,
	}
	if d.config.FaultProxies {
		created.Link, err = d.addLink("engine-"+config.ID, address, d.config.EngineLatency)
	}
	return created, err
}

// Start starts or restarts the engine and waits until it listens. The engine
// registers itself in the machine list.
func (e *Engine) Start(ctx context.Context) error {
	return e.launch(ctx, e.deployment.config.Binaries.Bench, e.arguments(), isListeningLine)
}

func (e *Engine) arguments() []string {
	platform := e.deployment.Platform
	arguments := []string{
		"standin", KindEngine,
		"--listen", e.Address,
		"--id", e.ID,
		"--zone", e.Zone,
		"--pool", e.Pool,
		"--store", "http://" + platform.WeightStore,
		"--machines", "http://" + platform.Machines,
		"--history",
		"--history-file", e.historyPath(),
	}
	if e.Link != nil {
		arguments = append(arguments, "--advertise", e.Link.Address())
	}
	for _, model := range e.config.Models {
		arguments = append(arguments, "--model", model)
	}
	if e.config.MaxBatch > 0 {
		arguments = append(arguments, "--max-batch", strconv.Itoa(e.config.MaxBatch))
	}
	if e.config.TokenInterval > 0 {
		arguments = append(arguments, "--token-interval", e.config.TokenInterval.String())
	}
	if e.config.LoadTime > 0 {
		arguments = append(arguments, "--load-time", e.config.LoadTime.String())
	}
	return append(arguments, e.config.Arguments...)
}

// Status returns the engine's current status, without the lag that the stand-in
// adds to the state and versions it reports to nodes.
func (e *Engine) Status(ctx context.Context) (engine.Status, error) {
	var status engine.Status
	err := e.deployment.call(ctx, http.MethodGet, e.Address, "/v1/status", nil, &status)
	return status, err
}

func (e *Engine) historyPath() string {
	return filepath.Join(e.deployment.config.Directory, e.ID+".history")
}

// History returns the history of the running engine process, including the
// orders that it received.
func (e *Engine) History(ctx context.Context) (standin.History, error) {
	var history standin.History
	err := e.deployment.call(ctx, http.MethodGet, e.Address, "/v1/history", nil, &history)
	return history, err
}

// Histories returns the histories of all engine processes, including those that
// exited or were killed, from their history files. Engines write an entry before
// its effect is visible. Orders are not included.
func (d *Deployment) Histories() ([]standin.History, error) {
	var histories []standin.History
	for _, engine := range d.Engines() {
		engineHistories, err := standin.ReadHistoryFile(engine.historyPath())
		if err != nil {
			return nil, errors.Wrapf(err, "history of engine %s", engine.ID)
		}
		histories = append(histories, engineHistories...)
	}
	return histories, nil
}
