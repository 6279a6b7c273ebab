package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// evacuationTimeout bounds the write of an evacuation record.
const evacuationTimeout = 3 * time.Second

// operatorsHandler serves the zone endpoints of the operator API; next serves all other requests.
func (n *node) operatorsHandler(next http.Handler) http.Handler {
	router := httpapi.NewRouter()
	router.HandleFunc(operatorapi.PathZones, n.getZones).Methods(http.MethodGet)
	router.HandleFunc(operatorapi.PathEvacuation, n.evacuate).Methods(http.MethodPut)
	router.HandleFunc(operatorapi.PathEvacuation, n.endEvacuation).Methods(http.MethodDelete)
	router.NotFoundHandler = next
	return router
}

func (n *node) getZones(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, n.zones())
}

func (n *node) zones() api.Zones {
	zones := api.Zones{
		Node: n.config.Node.ID, AgeMS: n.controlFollower.Age().Milliseconds(), ExcludedServices: n.coverage.excludedServices(),
		Zones: []api.ZoneStatus{},
	}
	runner := n.runner.Load()
	zones.Leading = runner != nil
	for _, zone := range n.fleet.Zones() {
		status := api.ZoneStatus{
			Zone: zone.Name, Evacuated: zone.Evacuated, Offset: zone.Offset, Engines: zone.Engines, InFlight: zone.InFlight,
		}
		if !zone.Since.IsZero() {
			status.Since = zone.Since.UTC().Format(time.RFC3339Nano)
		}
		if runner != nil {
			for _, engine := range zone.Incarnations {
				status.Items += runner.Running(engine)
			}
		}
		zones.Zones = append(zones.Zones, status)
	}
	return zones
}

func (n *node) evacuate(w http.ResponseWriter, r *http.Request) { n.handleEvacuation(w, r, true) }

func (n *node) endEvacuation(w http.ResponseWriter, r *http.Request) { n.handleEvacuation(w, r, false) }

// handleEvacuation writes the start or the end of a zone's evacuation to the log. It takes effect on each node when
// that node has read it.
func (n *node) handleEvacuation(w http.ResponseWriter, r *http.Request, inForce bool) {
	evacuation := Evacuation{Zone: mux.Vars(r)["zone"], InForce: inForce}
	err := n.writeEvacuation(r.Context(), evacuation)
	n.logger.Info().Err(err).Str("engine_zone", evacuation.Zone).Bool("evacuate", inForce).Str("from", r.RemoteAddr).
		Msg("evacuation change requested")
	if err != nil {
		httpapi.WriteError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, api.EvacuationAccepted{Zone: evacuation.Zone, Evacuated: inForce})
}

func (n *node) writeEvacuation(ctx context.Context, evacuation Evacuation) error {
	if err := fleet.CheckZoneName(evacuation.Zone); err != nil {
		return errkind.New(errkind.InvalidRequest, "%v", err)
	}
	if n.resumeGuard.callsMayBeLate() {
		return errkind.New(errkind.NotReady, "this node stood still, and the order may have lain here; repeat it")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evacuationTimeout)
	defer cancel()
	record := n.platform.EncodeEvacuation(evacuation)
	err := n.log.PutKeyed(ctx, n.platform.ControlTopic(), []eventlog.KeyedRecord{record})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, eventlog.ErrNotPerformed):
		return errkind.New(errkind.LogUnavailable, "the log did not take the order: %v", err)
	default:
		return errkind.New(errkind.OutcomeUnknownRepeatable, "the order may be in the log or not: %v", err)
	}
}
