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

// reportTimeout bounds the request for an engine's report.
const reportTimeout = 800 * time.Millisecond

func sortTargets(targets []weightplan.Target) {
	sort.Slice(targets, func(i, j int) bool { return targets[i].Model < targets[j].Model })
}

// load orders a load and waits until it is done.
func (m *Manager) load(ctx context.Context, engine fleet.Engine, load weightplan.Load, mode Mode) {
	began := time.Now()
	answer := m.order(ctx, engine, load, mode)
	done := answer == Held
	if answer == Taken || answer == Unanswered {
		done = m.awaitVersion(ctx, engine, load, began)
	}
	if done {
		m.options.Fleet.Observe(engine.Incarnation(), load.Model, load.Version)
	}
	m.mu.Lock()
	if done && answer == Taken {
		m.recordLoadTime(time.Since(began))
		if mode == Continue {
			// In the other mode the duration includes the wait for running items.
			m.limiter.Ended(began, time.Now(), m.loading[engine.Incarnation()].together)
		}
	}
	delete(m.loading, engine.Incarnation())
	if !done {
		delete(m.counts, engine.Incarnation())
		m.retryAt[engine.Incarnation()] = time.Now().Add(orderPause)
	}
	limit := m.limiter.Limit()
	m.mu.Unlock()
	m.options.Logger.Info().Stringer("engine", engine.Incarnation()).Str("model", load.Model).Int64("version", load.Version).
		Stringer("answer", answer).Bool("done", done).Int64("fence", m.options.Fence).
		Dur("took_ms", time.Since(began)).Int("loads_at_once", limit).Msg("weights ordered")
	m.options.Loaded()
}

// recordLoadTime updates the average load time. Must be called with mu held.
func (m *Manager) recordLoadTime(took time.Duration) {
	if m.loadTime == 0 {
		m.loadTime = took
		return
	}
	m.loadTime += time.Duration(loadWeight * float64(took-m.loadTime))
}

// order sends the order with the engine's count of orders.
func (m *Manager) order(ctx context.Context, engine fleet.Engine, load weightplan.Load, mode Mode) Answer {
	m.mu.Lock()
	count, known := m.counts[engine.Incarnation()]
	m.mu.Unlock()
	if !known {
		// The report also proves that the engine is reachable, so orders that an earlier holder sent have
		// arrived.
		report, err := m.report(ctx, engine)
		if err != nil || report.Busy {
			m.logUnreported(engine, err)
			return Refused
		}
		m.observe(engine, report)
		if report.Versions[load.Model] >= load.Version {
			return Held
		}
		count = report.Count
	}
	if !m.options.Term.Valid() {
		return Refused
	}
	permit, err := m.options.Term.Permit(ctx, engine.ID)
	if err != nil {
		m.options.Logger.Warn().Err(err).Stringer("engine", engine.Incarnation()).Msg("order not announced")
		return Refused
	}
	if !permit.Open() || ctx.Err() != nil {
		return Refused
	}
	began := time.Now()
	look := m.options.Gate.LookAtOrder(engine.Incarnation())
	callContext, cancel := permit.Bound(ctx)
	defer cancel()
	answer, err := m.options.Engines.Order(callContext, engine, Order{
		Model: load.Model, Version: load.Version, Mode: mode,
		Holder: m.options.Holder, Fence: m.options.Fence, Count: count,
		MayLeave: func() bool { return permit.Open() && look.MayLeave() },
	})
	if err != nil {
		m.options.Logger.Warn().Err(err).Stringer("engine", engine.Incarnation()).Msg("order failed")
	}
	m.options.Logger.Info().Stringer("engine", engine.Incarnation()).Int64("fence", m.options.Fence).Stringer("answer", answer).
		Stringer("held_back", look.Held()).Dur("took_ms", time.Since(began)).Msg("order answered")
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer == Taken {
		m.counts[engine.Incarnation()] = count + 1
	} else {
		delete(m.counts, engine.Incarnation())
	}
	return answer
}

// awaitVersion polls the engine until it has the version, and reports whether it does. It stops when the
// engine has ended.
func (m *Manager) awaitVersion(ctx context.Context, engine fleet.Engine, load weightplan.Load, began time.Time) bool {
	retry.Sleep(ctx, firstCheck)
	for ctx.Err() == nil && time.Since(began) < loadTimeout {
		if _, known := m.options.Fleet.Find(engine.Incarnation()); !known {
			return false
		}
		report, err := m.report(ctx, engine)
		if errors.Is(err, errStartedAgain) {
			return false
		}
		var evacuated *evacuatedError
		if errors.As(err, &evacuated) {
			m.logUnreported(engine, err)
			return false
		}
		if err == nil && report.Versions[load.Model] >= load.Version && !report.Busy {
			m.observe(engine, report)
			return true
		}
		retry.Sleep(ctx, checkPeriod)
	}
	return false
}

// errStartedAgain is returned for a report of another incarnation than the one addressed.
var errStartedAgain = errors.New("the engine has started again")

// evacuatedError is returned for an engine in an evacuated zone, which gets no requests.
type evacuatedError struct{ zone string }

// Error implements the error interface.
func (e *evacuatedError) Error() string { return "zone " + e.zone + " is evacuated" }

// report requests an engine's report, unless its zone is evacuated: no requests are sent there, and
// the engine list contains what it has loaded meanwhile. A report of another incarnation is an error, since
// it does not apply to the addressed one.
func (m *Manager) report(ctx context.Context, engine fleet.Engine) (Report, error) {
	if m.options.Fleet.IsEvacuated(engine.Zone) {
		return Report{}, &evacuatedError{zone: engine.Zone}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := m.options.Engines.Report(ctx, engine, func() bool {
		return m.options.Gate.Known() && !m.options.Fleet.IsEvacuated(engine.Zone)
	})
	if err != nil {
		return Report{}, err
	}
	if addressed := engine.Incarnation(); addressed.Contradicts(report.Of) {
		m.options.Logger.Info().Stringer("engine", addressed).Stringer("answered", report.Of).
			Msg("another start of the engine answered")
		return Report{}, errStartedAgain
	}
	return report, nil
}

// logUnreported logs why an engine was not ordered or is no longer polled, if there is an error.
func (m *Manager) logUnreported(engine fleet.Engine, err error) {
	if err == nil {
		return
	}
	line := m.options.Logger.Info().Err(err).Stringer("engine", engine.Incarnation())
	var evacuated *evacuatedError
	if errors.As(err, &evacuated) {
		line.Msg("load left to the engine")
		return
	}
	line.Msg("engine not ordered, its report is missing")
}

func (m *Manager) observe(engine fleet.Engine, report Report) {
	for model, version := range report.Versions {
		m.options.Fleet.Observe(engine.Incarnation(), model, version)
	}
}
