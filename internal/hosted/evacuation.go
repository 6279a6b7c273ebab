package hosted

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// applyEvacuation applies an operator's record that starts or ends the evacuation of a zone.
func (n *node) applyEvacuation(evacuation Evacuation, offset int64) {
	now := time.Now()
	update := n.fleet.EndEvacuation
	if evacuation.InForce {
		update = n.fleet.Evacuate
	} else if n.fleet.IsEvacuated(evacuation.Zone) {
		// The engines may have become cold during the evacuation. Mark them before any can be chosen as warm.
		n.fleet.MarkZonePossiblyCold(evacuation.Zone, fleet.ZoneReturned, now)
	}
	if !update(evacuation.Zone, now, offset) {
		return
	}
	n.relay.EnginesChanged()
	n.metrics.evacuatedZones.Set(float64(len(n.fleet.EvacuatedZones())))
	engines, inFlight := 0, 0
	for _, zone := range n.fleet.Zones() {
		if zone.Name == evacuation.Zone {
			engines, inFlight = zone.Engines, zone.InFlight
		}
	}
	line := n.logger.Info().Str("engine_zone", evacuation.Zone).Int64("offset", offset).Int("engines", engines).
		Int("in_flight", inFlight)
	if evacuation.InForce {
		line.Msg("zone evacuated")
		return
	}
	line.Msg("zone evacuation ended")
}
