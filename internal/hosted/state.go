package hosted

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// state holds the configuration in force, the named weight versions and the stop state. It is safe for concurrent
// use.
type state struct {
	mu      sync.RWMutex
	current *routes.Table
	// configuredAt is the time at which the first table was applied.
	configuredAt time.Time
	versions     map[string]int64
	// stopEnds is when all requests must have been answered in a planned stop; zero before.
	stopEnds time.Time
	// grace is the maximum duration of a planned stop.
	grace time.Duration
}

func newState(grace time.Duration) *state {
	return &state{versions: make(map[string]int64), grace: grace}
}

func (s *state) table() *routes.Table {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// setTable applies a table unless its version is not newer than the current one. It reports whether it did.
func (s *state) setTable(table *routes.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current.Version >= table.Version {
		return false
	}
	if s.current == nil {
		s.configuredAt = time.Now()
	}
	s.current = table
	return true
}

// configuredFor returns the time since the first table was applied; zero without one.
func (s *state) configuredFor() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.current == nil {
		return 0
	}
	return time.Since(s.configuredAt)
}

func (s *state) setVersion(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[model] >= version {
		return false
	}
	s.versions[model] = version
	return true
}

func (s *state) namedVersions() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.versions)
}

func (s *state) beginStop(ends time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopEnds = ends
}

func (s *state) gracePeriod() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.grace
}

func (s *state) setGrace(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grace = grace
}

func (s *state) isStopping() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.stopEnds.IsZero()
}

// limitToStop returns a duration that ends before a planned stop does: the given one if none is under way.
func (s *state) limitToStop(duration time.Duration) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.stopEnds.IsZero() {
		return duration
	}
	return min(duration, max(0, time.Until(s.stopEnds)))
}

// applyControlRecord applies a record of the control topic. One that cannot be decoded has no effect.
func (n *node) applyControlRecord(record eventlog.KeyedRecord) {
	change, err := n.platform.DecodeControl(record)
	if err != nil {
		n.logger.Error().Err(err).Str("key", record.Key).Int64("offset", record.Offset).Msg("control record skipped")
		return
	}
	if change.Table != nil && n.state.setTable(change.Table) {
		n.metrics.tableVersion.Set(float64(change.Table.Version))
		n.fleet.SetSlowStarts(change.Table.SlowStarts())
		n.warnUnknownHomes(change.Table)
		n.regionElections.NotifyTableChanged()
		n.relay.ConfigurationChanged()
		n.logger.Info().Int64("config", change.Table.Version).Int64("offset", record.Offset).Msg("configuration in force")
	}
	if change.Model != "" && n.state.setVersion(change.Model, change.ModelVersion) {
		n.logger.Info().Str("model", change.Model).Int64("version", change.ModelVersion).
			Int64("offset", record.Offset).Msg("weight version published")
	}
	if change.Evacuation != nil {
		n.applyEvacuation(*change.Evacuation, record.Offset)
	}
}

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
