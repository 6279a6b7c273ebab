package hosted

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// state is the configuration in force and the named weight versions.
type state struct {
	mu      sync.RWMutex
	current *routes.Table
	// configuredAt is when the first table was put in force.
	configuredAt time.Time
	versions     map[string]int64
	stopping     bool
	// grace is the time that a planned stop may take.
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

// setTable puts a table in force unless a newer one is.
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

// configuredFor is the time since a first table was put in force; zero before.
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

func (s *state) named() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.versions)
}

func (s *state) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *state) graceTime() time.Duration {
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
	return s.stopping
}

// takeControl takes a record of the operator or a trainer. One that cannot be
// read leaves what is in force.
func (n *node) takeControl(record eventlog.KeyedRecord) {
	change, err := n.platform.DecodeControl(record)
	if err != nil {
		n.logger.Error().Err(err).Str("key", record.Key).Int64("offset", record.Offset).Msg("control record passed over")
		return
	}
	if change.Table != nil && n.state.setTable(change.Table) {
		n.metrics.tableVersion.Set(float64(change.Table.Version))
		n.checkHomes(change.Table)
		n.homeRunners.TableChanged()
		n.logger.Info().Int64("config", change.Table.Version).Int64("offset", record.Offset).Msg("configuration in force")
	}
	if change.Model != "" && n.state.setVersion(change.Model, change.ModelVersion) {
		n.logger.Info().Str("model", change.Model).Int64("version", change.ModelVersion).
			Int64("offset", record.Offset).Msg("version named")
	}
}

// takeEngine takes a record of the engine list.
func (n *node) takeEngine(record eventlog.KeyedRecord) {
	if record.Deleted {
		n.fleet.Remove(record.Key)
		n.logger.Info().Str("engine", record.Key).Int64("offset", record.Offset).Msg("engine gone")
		return
	}
	engine, err := n.platform.DecodeEngine(record)
	if err != nil {
		n.logger.Error().Err(err).Str("engine", record.Key).Int64("offset", record.Offset).Msg("engine record passed over")
		return
	}
	engine.Region = n.regionOf(engine)
	known, listed := n.fleet.Get(engine.ID)
	n.fleet.Put(engine)
	if listed && known.Address == engine.Address && known.Draining == engine.Draining {
		// Versions change with every load; who orders one says so.
		return
	}
	if !n.engines.IsLoaded() {
		// The first read is told of by one line.
		return
	}
	n.logger.Info().Str("engine", engine.ID).Str("service", engine.Service).Str("address", engine.Address).
		Str("zone", engine.Zone).Bool("draining", engine.Draining).Interface("versions", engine.Versions).
		Int64("offset", record.Offset).Msg("engine listed")
}

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
