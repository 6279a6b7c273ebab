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

const zonesPollInterval = 250 * time.Millisecond

// zones prints each server's view of the zones and reports the servers that did not answer.
func (s *session) zones(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	views, failures := s.readZones(ctx)
	for _, failure := range failures {
		s.notice("corkctl: %v", failure)
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
		return toExitError(failures[0])
	default:
		return exitWith(ExitFailed, "%d of %d servers did not answer", len(failures), len(s.client.servers))
	}
}

// readZones reads the zones from every server. Each failure stands for one server.
func (s *session) readZones(ctx context.Context) (views []api.Zones, failures []error) {
	views = []api.Zones{}
	for range s.client.servers {
		var view api.Zones
		if err := s.client.read(ctx, operatorapi.PathZones, nil, &view); err != nil {
			failures = append(failures, err)
		} else {
			views = append(views, view)
		}
		s.client.useNextServer()
	}
	return views, failures
}

func (s *session) printZones(views []api.Zones) {
	table := newTextTable(s.streams.Out, "NODE", "LEADS", "ZONE", "EVACUATED", "SINCE", "OFFSET", "ENGINES", "IN FLIGHT", "ITEMS")
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

// orderEvacuation sends the order to a server and, with --wait, waits until it is in effect.
func (s *session) orderEvacuation(ctx context.Context, order evacuationArguments, evacuated bool) error {
	if err := fleet.CheckZoneName(order.Zone); err != nil {
		return exitWith(ExitUsage, "%w", err)
	}
	accepted, err := s.sendEvacuationOrder(ctx, order.Zone, evacuated)
	if err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(accepted)
	} else {
		s.notice("zone %s: order recorded in the log, evacuated: %s", accepted.Zone, yesNo(accepted.Evacuated))
	}
	if !order.Wait {
		return nil
	}
	return s.awaitEvacuation(ctx, order.Zone, evacuated)
}

// sendEvacuationOrder tries the servers in turn, which is safe because orders are idempotent.
func (s *session) sendEvacuationOrder(ctx context.Context, zone string, evacuated bool) (api.EvacuationAccepted, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	method := http.MethodPut
	if !evacuated {
		method = http.MethodDelete
	}
	path := strings.Replace(operatorapi.PathEvacuation, "{zone}", url.PathEscape(zone), 1)
	var last error
	mayBeRecorded := false
	for range s.client.servers {
		var accepted api.EvacuationAccepted
		attemptContext, cancelAttempt := context.WithTimeout(ctx, evacuationTimeout)
		err := s.client.attempt(attemptContext, method, path, nil, nil, &accepted)
		cancelAttempt()
		if err == nil {
			return accepted, nil
		}
		last = err
		mayBeRecorded = mayBeRecorded || mayHaveTakenEffect(err)
		var serverErr *serverError
		if errors.As(err, &serverErr) && !serverErr.detail.Retryable {
			break
		}
		s.client.useNextServer()
	}
	if mayBeRecorded {
		return api.EvacuationAccepted{}, exitWith(ExitUnknown, "the order may have been recorded in the log; repeat it: %w", last)
	}
	return api.EvacuationAccepted{}, toExitError(last)
}

// mayHaveTakenEffect reports whether a failed call may have taken effect.
func mayHaveTakenEffect(err error) bool {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return unreachable.sent
	}
	var serverErr *serverError
	return errors.As(err, &serverErr) && serverErr.detail.Executed != string(errkind.NotExecuted)
}

// awaitEvacuation polls until the order is in force at every server and, for an evacuation, no server has a request in
// flight in the zone.
func (s *session) awaitEvacuation(ctx context.Context, zone string, evacuated bool) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	reported := ""
	for {
		views, failures := s.readZones(ctx)
		inForceAt, inFlight := 0, 0
		for _, view := range views {
			status := zoneOf(view, zone)
			if status.Evacuated == evacuated {
				inForceAt++
			}
			inFlight += status.InFlight
		}
		done := inForceAt == len(s.client.servers) && (!evacuated || inFlight == 0)
		state := strconv.Itoa(inForceAt) + " of " + strconv.Itoa(len(s.client.servers)) + " servers, " +
			strconv.Itoa(inFlight) + " requests in flight"
		if ctx.Err() == nil && state != reported {
			reported = state
			s.notice("zone %s: evacuated: %s at %s", zone, yesNo(evacuated), state)
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return exitWith(ExitNotInForce, "the order is recorded in the log, but not yet in effect: %s (servers that did not answer: %d)",
				reported, len(failures))
		case <-time.After(zonesPollInterval):
		}
	}
}

// zoneOf returns a server's view of a zone. A zone unknown to the server is not evacuated.
func zoneOf(view api.Zones, zone string) api.ZoneStatus {
	for _, status := range view.Zones {
		if status.Zone == zone {
			return status
		}
	}
	return api.ZoneStatus{Zone: zone}
}
