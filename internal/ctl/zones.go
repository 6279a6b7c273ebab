package ctl

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// zonesPoll is the pause between two looks at the servers' zones.
const zonesPoll = 250 * time.Millisecond

// zones shows the zones as each server sees them. A server that cannot be reached is named.
func (s *session) zones(ctx context.Context) error {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	views, failures := s.readZones(ctx)
	for _, failure := range failures {
		s.remark("corkctl: %v", failure)
	}
	if s.arguments.JSON {
		s.printJSON(views)
	} else {
		s.printZones(views)
	}
	switch {
	case len(failures) == 0:
		return nil
	case len(views) == 0:
		return asExit(failures[0])
	default:
		return exitWith(ExitFailed, "%d of %d servers did not answer", len(failures), len(s.client.servers))
	}
}

// readZones asks every server.
func (s *session) readZones(ctx context.Context) (views []api.Zones, failures []error) {
	views = []api.Zones{}
	for range s.client.servers {
		var view api.Zones
		if err := s.client.read(ctx, operatorapi.PathZones, nil, &view); err != nil {
			failures = append(failures, err)
		} else {
			views = append(views, view)
		}
		s.client.skipServer()
	}
	return views, failures
}

func (s *session) printZones(views []api.Zones) {
	table := newColumns(s.streams.Out, "NODE", "LEADS", "ZONE", "EVACUATED", "SINCE", "OFFSET", "ENGINES", "IN FLIGHT", "ITEMS")
	for _, view := range views {
		for _, zone := range view.Zones {
			table.add(view.Node, yesNo(view.Leading), zone.Zone, yesNo(zone.Evacuated), zone.Since, formatNumber(zone.Offset),
				strconv.Itoa(zone.Engines), strconv.Itoa(zone.InFlight), strconv.Itoa(zone.Items))
		}
	}
	table.flush()
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func (s *session) evacuate(ctx context.Context) error {
	return s.orderEvacuation(ctx, s.arguments.Evacuate.evacuationArguments, true)
}

func (s *session) takeBack(ctx context.Context) error {
	return s.orderEvacuation(ctx, s.arguments.TakeBack.evacuationArguments, false)
}

// orderEvacuation has a server write the order, and waits for its effect where that is asked for.
func (s *session) orderEvacuation(ctx context.Context, order evacuationArguments, inForce bool) error {
	if err := fleet.CheckZoneName(order.Zone); err != nil {
		return exitWith(ExitUsage, "%w", err)
	}
	accepted, err := s.writeEvacuation(ctx, order.Zone, inForce)
	if err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(accepted)
	} else {
		s.remark("zone %s: the log has the order, evacuated: %s", accepted.Zone, yesNo(accepted.Evacuated))
	}
	if !order.Wait {
		return nil
	}
	return s.awaitEvacuation(ctx, order.Zone, inForce)
}

// writeEvacuation tries one server after the other. The same order written twice is harmless.
func (s *session) writeEvacuation(ctx context.Context, zone string, inForce bool) (api.EvacuationAccepted, error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	method := http.MethodPut
	if !inForce {
		method = http.MethodDelete
	}
	path := strings.Replace(operatorapi.PathEvacuation, "{zone}", url.PathEscape(zone), 1)
	var last error
	mayBeWritten := false
	for range s.client.servers {
		var accepted api.EvacuationAccepted
		attemptContext, cancelAttempt := context.WithTimeout(ctx, evacuationTimeout)
		err := s.client.attempt(attemptContext, method, path, nil, nil, &accepted)
		cancelAttempt()
		if err == nil {
			return accepted, nil
		}
		last = err
		mayBeWritten = mayBeWritten || mayHaveRun(err)
		var answer *answerError
		if errors.As(err, &answer) && !answer.detail.Retryable {
			break
		}
		s.client.skipServer()
	}
	if mayBeWritten {
		return api.EvacuationAccepted{}, exitWith(ExitUnknown, "the order may be in the log; repeat it: %w", last)
	}
	return api.EvacuationAccepted{}, asExit(last)
}

// mayHaveRun tells whether a call that failed may have had its effect.
func mayHaveRun(err error) bool {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return unreachable.sent
	}
	var answer *answerError
	return errors.As(err, &answer) && answer.detail.Executed != string(errkind.NotExecuted)
}

// awaitEvacuation polls until the order is in force at every server and, for an evacuation, none of
// them has a request in the zone.
func (s *session) awaitEvacuation(ctx context.Context, zone string, inForce bool) error {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	told := ""
	for {
		views, failures := s.readZones(ctx)
		inForceAt, inFlight := 0, 0
		for _, view := range views {
			status := zoneOf(view, zone)
			if status.Evacuated == inForce {
				inForceAt++
			}
			inFlight += status.InFlight
		}
		done := inForceAt == len(s.client.servers) && (!inForce || inFlight == 0)
		state := strconv.Itoa(inForceAt) + " of " + strconv.Itoa(len(s.client.servers)) + " servers, " +
			strconv.Itoa(inFlight) + " requests there"
		if ctx.Err() == nil && state != told {
			told = state
			s.remark("zone %s: evacuated %s at %s", zone, yesNo(inForce), state)
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return exitWith(ExitNotInForce, "the order is in the log, but not yet done: %s (servers that did not answer: %d)",
				told, len(failures))
		case <-time.After(zonesPoll):
		}
	}
}

// zoneOf returns a server's view of a zone. One that it does not know is not evacuated there.
func zoneOf(view api.Zones, zone string) api.ZoneStatus {
	for _, status := range view.Zones {
		if status.Zone == zone {
			return status
		}
	}
	return api.ZoneStatus{Zone: zone}
}
