package topology

import (
	"context"
	"net/http"

	"github.com/corkpulley/corkpulley/internal/platform/machines"
	enginestandin "github.com/corkpulley/corkpulley/internal/standin/engine"
	logstandin "github.com/corkpulley/corkpulley/internal/standin/logservice"
	machinesstandin "github.com/corkpulley/corkpulley/internal/standin/machines"
	storestandin "github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

// controlPath is the stand-ins' endpoint for fault controls.
const controlPath = "/v1/control"

// ControlLog sets all faults of the log; the zero Control clears them.
func (d *Deployment) ControlLog(ctx context.Context, control logstandin.Control) error {
	return d.call(ctx, http.MethodPost, d.Platform.Log, controlPath, control, nil)
}

// ControlStore sets the faults of the weight store.
func (d *Deployment) ControlStore(ctx context.Context, control storestandin.Control) error {
	return d.call(ctx, http.MethodPost, d.Platform.WeightStore, controlPath, control, nil)
}

// ControlMachines sets the faults of the machine list.
func (d *Deployment) ControlMachines(ctx context.Context, control machinesstandin.Control) error {
	return d.call(ctx, http.MethodPost, d.Platform.Machines, controlPath, control, nil)
}

// Control sets faults of the engine or starts to drain it.
func (e *Engine) Control(ctx context.Context, control enginestandin.Control) error {
	return e.deployment.call(ctx, http.MethodPost, e.Address, controlPath, control, nil)
}

// MachineEntry returns the engine's machine list entry for the given state.
func (e *Engine) MachineEntry(state machines.State) machines.Machine {
	address := e.Address
	if e.Link != nil {
		address = e.Link.Address()
	}
	return machines.Machine{
		ID:      e.ID,
		Role:    machines.RoleEngine,
		Address: address,
		Zone:    e.Zone,
		Pool:    e.Pool,
		State:   state,
	}
}

// PutMachine writes one entry of the machine list, as a platform operator
// would. The machine's next heartbeat may overwrite it.
func (d *Deployment) PutMachine(ctx context.Context, machine machines.Machine) error {
	return d.call(ctx, http.MethodPut, d.Platform.Machines, "/v1/machines/"+machine.ID, machine, nil)
}
