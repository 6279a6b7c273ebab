package hosted

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// deferredCheckPeriod is the interval between checks for deferred entries that have become due. They
// are deferred for seconds, so a late check delays them little.
const deferredCheckPeriod = 500 * time.Millisecond

// unusableEntries holds the last fault of each unusable entry by key, so that a repeated entry is logged once. It is
// not safe for concurrent use.
type unusableEntries map[string]EntryFault

// isNew records the fault of an entry and reports whether it differs from the last one.
func (u unusableEntries) isNew(key string, fault EntryFault) bool {
	known, found := u[key]
	u[key] = fault
	return !found || known != fault
}

// applyEngineRecord applies a record of the engine list. An unusable entry removes the engine that its key listed
// before, whose state is now unknown; other engines are not affected.
func (n *node) applyEngineRecord(record eventlog.KeyedRecord) {
	if record.Deleted {
		delete(n.loggedUnusable, record.Key)
		if removed, known := n.removeEngine(record.Key); known && !n.coverage.excludes(removed.Service) {
			n.logger.Info().Stringer("engine", removed.Incarnation()).Int64("offset", record.Offset).Msg("engine removed")
		}
		return
	}
	engine, err := n.platform.DecodeEngine(record)
	if err != nil {
		_, withdrawn := n.removeEngine(record.Key)
		n.reportUnusable(record, err, withdrawn)
		return
	}
	if n.coverage.excludes(engine.Service) {
		delete(n.loggedUnusable, record.Key)
		n.removeEngine(record.Key)
		return
	}
	if fault := n.serviceFault(engine); fault != nil {
		n.reportUnusable(record, fault, false)
	} else {
		delete(n.loggedUnusable, record.Key)
	}
	engine.ReadAt = time.Now()
	engine.Region = n.regionOf(engine)
	previous, listed := n.fleet.Get(engine.ID)
	n.markNewEngineCold(engine, listed && previous.Incarnation() == engine.Incarnation())
	change := n.fleet.Put(engine)
	n.logEngineChange(previous, engine, change, record.Offset)
	if change != fleet.Renewed || previous.Draining != engine.Draining || previous.Slots != engine.Slots || previous.Service != engine.Service {
		n.relay.EnginesChanged()
	}
}

// removeEngine removes an engine from the fleet and returns it; known is false if it was not listed.
func (n *node) removeEngine(id string) (engine fleet.Engine, known bool) {
	engine, known = n.fleet.Get(id)
	n.fleet.Remove(id)
	n.loggedUnreadableLoads.Delete(engine.Incarnation())
	if known {
		n.relay.EnginesChanged()
	}
	return engine, known
}

// serviceFault returns an error if the configuration does not define the engine's service; nil without a
// configuration. The engine is kept: it gets no requests, and a later configuration may define its service.
func (n *node) serviceFault(engine fleet.Engine) error {
	table := n.state.table()
	if table == nil {
		return nil
	}
	if _, found := table.Service(engine.Service); found {
		return nil
	}
	return &EntryError{Fault: UnknownService, Field: "service", Detail: engine.Service}
}

// reportUnusable counts an unusable entry. It logs the entry if its fault is new, or if it withdrew a listed engine.
func (n *node) reportUnusable(record eventlog.KeyedRecord, err error, withdrawn bool) {
	fault := Unreadable
	var entry *EntryError
	if errors.As(err, &entry) {
		fault = entry.Fault
	}
	n.metrics.entryUnusable(fault)
	if !n.loggedUnusable.isNew(record.Key, fault) && !withdrawn {
		return
	}
	n.logger.Warn().Err(err).Str("engine", record.Key).Int64("offset", record.Offset).Stringer("fault", fault).
		Bool("withdrawn", withdrawn).Msg("engine entry unusable")
}

// reportUnreadableLoad counts a response whose load report cannot be parsed, and logs it once for each engine.
func (n *node) reportUnreadableLoad(engine fleet.Engine, fault error) {
	n.metrics.loadsUnreadable.Inc()
	if _, logged := n.loggedUnreadableLoads.LoadOrStore(engine.Incarnation(), true); !logged {
		n.logger.Warn().Err(fault).Stringer("engine", engine.Incarnation()).Str("service", engine.Service).
			Msg("engine load unreadable")
	}
}

func (n *node) logEngineChange(previous, engine fleet.Engine, change fleet.Change, offset int64) {
	if !n.engineFollower.IsLoaded() {
		// The follower logs the first read as a whole.
		return
	}
	switch {
	case change == fleet.Deferred:
		n.logger.Info().Stringer("engine", engine.Incarnation()).Stringer("known", previous.Incarnation()).
			Int64("offset", offset).Msg("engine entry of an earlier start deferred")
	case change == fleet.Replaced:
		n.reportRestart(previous, engine)
	case change == fleet.Renewed && previous.Address == engine.Address && previous.Draining == engine.Draining:
		// Version changes are logged by the node that requests them.
	default:
		n.logger.Info().Stringer("engine", engine.Incarnation()).Str("service", engine.Service).Str("address", engine.Address).
			Str("zone", engine.Zone).Bool("draining", engine.Draining).Interface("versions", engine.Versions).
			Int64("offset", offset).Msg("engine listed")
	}
}

func (n *node) reportRestart(ended, engine fleet.Engine) {
	n.metrics.engineRestarts.Inc()
	n.logger.Info().Stringer("engine", engine.Incarnation()).Stringer("ended", ended.Incarnation()).
		Str("service", engine.Service).Str("address", engine.Address).Str("zone", engine.Zone).
		Bool("draining", engine.Draining).Interface("versions", engine.Versions).Msg("engine restarted")
}

// applyDeferred applies deferred entries of earlier engine starts once no later entry has arrived for some time,
// until ctx ends. Time during which the list cannot be read does not count.
func (n *node) applyDeferred(ctx context.Context) error {
	for retry.Sleep(ctx, deferredCheckPeriod) {
		now := time.Now()
		for _, settled := range n.fleet.ApplyDeferred(now.Add(-n.engineFollower.Age()), now) {
			n.reportRestart(settled.Ended, settled.Engine)
		}
	}
	return nil
}

// hasUsableEngine reports whether an engine of a configured service is listed. It is also true if this node
// excludes some services, since those may have engines.
func (n *node) hasUsableEngine(table *routes.Table) bool {
	if n.engineFollower.IsLoaded() && len(n.coverage.excludedServices()) > 0 {
		return true
	}
	for _, service := range n.fleet.Services() {
		if _, found := table.Service(service); found {
			return true
		}
	}
	return false
}
