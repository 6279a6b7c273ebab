package weightorders

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/weightplan"
)

// reportTimeout bounds a request for an engine's report.
const reportTimeout = 800 * time.Millisecond

func sortTargets(targets []weightplan.Target) {
	sort.Slice(targets, func(i, j int) bool { return targets[i].Model < targets[j].Model })
}

// load orders a load and waits for its end.
func (m *Manager) load(ctx context.Context, engine fleet.Engine, load weightplan.Load, mode Mode) {
	began := time.Now()
	answer := m.order(ctx, engine, load, mode)
	done := answer == AlreadyLoaded
	if answer == Accepted || answer == Unanswered {
		done = m.awaitVersion(ctx, engine, load, began)
	}
	if done {
		m.options.Fleet.ObserveVersion(engine.Incarnation(), load.Model, load.Version)
	}
	m.mu.Lock()
	if done && answer == Accepted {
		m.recordLoadTime(time.Since(began))
		if mode == Continue {
			// In mode Finish the duration includes the wait for running items.
			m.limiter.RecordLoad(began, time.Now(), m.loading[engine.Incarnation()].concurrency)
		}
	}
	delete(m.loading, engine.Incarnation())
	if !done {
		delete(m.counts, engine.Incarnation())
		m.retryAt[engine.Incarnation()] = time.Now().Add(retryDelay)
	}
	limit := m.limiter.Limit()
	m.mu.Unlock()
	m.options.Logger.Info().Stringer("engine", engine.Incarnation()).Str("model", load.Model).Int64("version", load.Version).
		Stringer("answer", answer).Bool("done", done).Int64("fence", m.options.Fence).
		Dur("took_ms", time.Since(began)).Int("loads_at_once", limit).Msg("weight load ended")
	m.options.OnLoadEnd()
}

// recordLoadTime updates the mean load time. Must be called with mu held.
func (m *Manager) recordLoadTime(took time.Duration) {
	if m.meanLoadTime == 0 {
		m.meanLoadTime = took
		return
	}
	m.meanLoadTime += time.Duration(loadTimeSmoothing * float64(took-m.meanLoadTime))
}

// order sends an order with the engine's order count, which it requests first if it is unknown.
func (m *Manager) order(ctx context.Context, engine fleet.Engine, load weightplan.Load, mode Mode) Answer {
	m.mu.Lock()
	count, known := m.counts[engine.Incarnation()]
	m.mu.Unlock()
	if !known {
		// The report also proves that the engine is reachable, so that orders of an earlier lease holder have
		// arrived.
		report, err := m.report(ctx, engine)
		if err != nil || report.Busy {
			m.logReportError(engine, err)
			return Refused
		}
		m.observe(engine, report)
		if report.Versions[load.Model] >= load.Version {
			return AlreadyLoaded
		}
		count = report.Count
	}
	if !m.options.Term.Valid() {
		return Refused
	}
	permit, err := m.options.Term.Permit(ctx, engine.ID)
	if err != nil {
		m.options.Logger.Warn().Err(err).Stringer("engine", engine.Incarnation()).Msg("load order not permitted")
		return Refused
	}
	if !permit.Valid() || ctx.Err() != nil {
		return Refused
	}
	began := time.Now()
	check := m.options.Gate.CheckWeightLoad(engine.Incarnation())
	callContext, cancel := permit.WithDeadline(ctx)
	defer cancel()
	answer, err := m.options.Engines.Order(callContext, engine, Order{
		Model: load.Model, Version: load.Version, Mode: mode,
		Holder: m.options.Holder, Fence: m.options.Fence, Count: count,
		MaySend: func() bool { return permit.Valid() && check.MaySend() },
	})
	if err != nil {
		m.options.Logger.Warn().Err(err).Stringer("engine", engine.Incarnation()).Msg("load order failed")
	}
	m.options.Logger.Info().Stringer("engine", engine.Incarnation()).Int64("fence", m.options.Fence).Stringer("answer", answer).
		Stringer("held_back", check.Held()).Dur("took_ms", time.Since(began)).Msg("load order answered")
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer == Accepted {
		m.counts[engine.Incarnation()] = count + 1
	} else {
		delete(m.counts, engine.Incarnation())
	}
	return answer
}

// awaitVersion polls the engine until it has loaded the version, and reports whether it has. It stops when the
// engine has ended or its zone is evacuated.
func (m *Manager) awaitVersion(ctx context.Context, engine fleet.Engine, load weightplan.Load, began time.Time) bool {
	retry.Sleep(ctx, firstPollDelay)
	for ctx.Err() == nil && time.Since(began) < loadTimeout {
		if _, known := m.options.Fleet.Find(engine.Incarnation()); !known {
			return false
		}
		report, err := m.report(ctx, engine)
		if errors.Is(err, errRestarted) {
			return false
		}
		var evacuated *evacuatedError
		if errors.As(err, &evacuated) {
			m.logReportError(engine, err)
			return false
		}
		if err == nil && report.Versions[load.Model] >= load.Version && !report.Busy {
			m.observe(engine, report)
			return true
		}
		retry.Sleep(ctx, pollInterval)
	}
	return false
}

// errRestarted is returned for a report of another incarnation than the one addressed.
var errRestarted = errors.New("the report is from another incarnation of the engine")

// evacuatedError is returned for an engine in an evacuated zone, to which no requests are sent.
type evacuatedError struct{ zone string }

// Error implements the error interface.
func (e *evacuatedError) Error() string { return "zone " + e.zone + " is evacuated" }

// report requests an engine's report. No request is sent to an evacuated zone; the engine list shows what its
// engines have loaded meanwhile. A report from another incarnation than the addressed one is an error.
func (m *Manager) report(ctx context.Context, engine fleet.Engine) (Report, error) {
	if m.options.Fleet.IsEvacuated(engine.Zone) {
		return Report{}, &evacuatedError{zone: engine.Zone}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := m.options.Engines.Report(ctx, engine, func() bool {
		return m.options.Gate.EnginesKnown() && !m.options.Fleet.IsEvacuated(engine.Zone)
	})
	if err != nil {
		return Report{}, err
	}
	if addressed := engine.Incarnation(); addressed.Contradicts(report.Incarnation) {
		m.options.Logger.Info().Stringer("engine", addressed).Stringer("answered", report.Incarnation).
			Msg("report from another incarnation of the engine")
		return Report{}, errRestarted
	}
	return report, nil
}

// logReportError logs the error, if any, because of which an engine was not ordered or is no longer polled.
func (m *Manager) logReportError(engine fleet.Engine, err error) {
	if err == nil {
		return
	}
	event := m.options.Logger.Info().Err(err).Stringer("engine", engine.Incarnation())
	var evacuated *evacuatedError
	if errors.As(err, &evacuated) {
		event.Msg("engine not ordered or polled, its zone is evacuated")
		return
	}
	event.Msg("engine not ordered, the request for its report failed")
}

// observe updates the fleet with the versions of a report.
func (m *Manager) observe(engine fleet.Engine, report Report) {
	for model, version := range report.Versions {
		m.options.Fleet.ObserveVersion(engine.Incarnation(), model, version)
	}
}
