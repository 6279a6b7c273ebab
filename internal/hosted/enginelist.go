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

// deferredCheckPeriod is the time between two looks whether entries of earlier starts have come to hold. They wait
// for seconds, so that a node loses little by it.
const deferredCheckPeriod = 500 * time.Millisecond

// unusableEntries remembers which entries were told of, so that one that its writer repeats is told of once.
// Only the follower of the engine list uses it.
type unusableEntries map[string]EntryFault

// isNew tells whether the entry was not told of for this fault.
func (u unusableEntries) isNew(key string, fault EntryFault) bool {
	known, found := u[key]
	u[key] = fault
	return !found || known != fault
}

// takeEngine takes a record of the engine list. One that names no engine to use takes the place of an entry
// that did: nobody knows what became of the engine. All others hold.
func (n *node) takeEngine(record eventlog.KeyedRecord) {
	if record.Deleted {
		delete(n.unusable, record.Key)
		if gone, known := n.forgetEngine(record.Key); known && !n.coverage.leaves(gone.Service) {
			n.logger.Info().Stringer("engine", gone.Incarnation()).Int64("offset", record.Offset).Msg("engine gone")
		}
		return
	}
	engine, err := n.platform.DecodeEngine(record)
	if err != nil {
		_, withdrawn := n.forgetEngine(record.Key)
		n.tellUnusable(record, err, withdrawn)
		return
	}
	if n.coverage.leaves(engine.Service) {
		delete(n.unusable, record.Key)
		n.forgetEngine(record.Key)
		return
	}
	if fault := n.serviceFault(engine); fault != nil {
		n.tellUnusable(record, fault, false)
	} else {
		delete(n.unusable, record.Key)
	}
	engine.ReadAt = time.Now()
	engine.Region = n.regionOf(engine)
	known, listed := n.fleet.Get(engine.ID)
	n.doubtNew(engine, listed && known.Incarnation() == engine.Incarnation())
	change := n.fleet.Put(engine)
	n.tellChange(known, engine, change, record.Offset)
}

// forgetEngine takes an engine out of the fleet and returns it; known is false if it was not there.
func (n *node) forgetEngine(id string) (engine fleet.Engine, known bool) {
	engine, known = n.fleet.Get(id)
	n.fleet.Remove(id)
	n.unreadableLoads.Delete(engine.Incarnation())
	return engine, known
}

// serviceFault returns the fault of an engine whose service no configuration names; nil while none is known.
// The engine is kept: nothing is sent to it, and the configuration that names the service may be on its way.
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

// tellUnusable counts an entry that names no engine to use, and tells of it once.
func (n *node) tellUnusable(record eventlog.KeyedRecord, err error, withdrawn bool) {
	fault := Unreadable
	var entry *EntryError
	if errors.As(err, &entry) {
		fault = entry.Fault
	}
	n.metrics.entryUnusable(fault)
	if !n.unusable.isNew(record.Key, fault) && !withdrawn {
		return
	}
	n.logger.Warn().Err(err).Str("engine", record.Key).Int64("offset", record.Offset).Stringer("fault", fault).
		Bool("withdrawn", withdrawn).Msg("engine entry unusable")
}

// loadUnreadable counts an answer whose engine told a load that cannot be read, and tells of each engine once.
func (n *node) loadUnreadable(engine fleet.Engine, fault error) {
	n.metrics.loadsUnreadable.Inc()
	if _, told := n.unreadableLoads.LoadOrStore(engine.Incarnation(), true); !told {
		n.logger.Warn().Err(fault).Stringer("engine", engine.Incarnation()).Str("service", engine.Service).
			Msg("engine load unreadable")
	}
}

// tellChange tells of what an entry changed.
func (n *node) tellChange(known, engine fleet.Engine, change fleet.Change, offset int64) {
	if !n.engines.IsLoaded() {
		// The first read is told of by one line.
		return
	}
	switch {
	case change == fleet.Deferred:
		n.logger.Info().Stringer("engine", engine.Incarnation()).Stringer("known", known.Incarnation()).
			Int64("offset", offset).Msg("engine entry of an earlier start")
	case change == fleet.Replaced:
		n.tellStartedAgain(known, engine)
	case change == fleet.Renewed && known.Address == engine.Address && known.Draining == engine.Draining:
		// Versions change with every load; who orders one says so.
	default:
		n.logger.Info().Stringer("engine", engine.Incarnation()).Str("service", engine.Service).Str("address", engine.Address).
			Str("zone", engine.Zone).Bool("draining", engine.Draining).Interface("versions", engine.Versions).
			Int64("offset", offset).Msg("engine listed")
	}
}

func (n *node) tellStartedAgain(ended, engine fleet.Engine) {
	n.metrics.enginesStartedAgain.Inc()
	n.logger.Info().Stringer("engine", engine.Incarnation()).Stringer("ended", ended.Incarnation()).
		Str("service", engine.Service).Str("address", engine.Address).Str("zone", engine.Zone).
		Bool("draining", engine.Draining).Interface("versions", engine.Versions).Msg("engine started again")
}

// applyDeferred has entries of earlier starts hold once the list has told of no later one for a while, until
// ctx ends. An outage of the list does not count.
func (n *node) applyDeferred(ctx context.Context) error {
	for retry.Sleep(ctx, deferredCheckPeriod) {
		now := time.Now()
		for _, settled := range n.fleet.ApplyDeferred(now.Add(-n.engines.Age()), now) {
			n.tellStartedAgain(settled.Ended, settled.Engine)
		}
	}
	return nil
}

// knowsEngine tells whether an engine is known whose service the configuration names, or this node need know
// none of some service.
func (n *node) knowsEngine(table *routes.Table) bool {
	if n.engines.IsLoaded() && len(n.coverage.leftOutNow()) > 0 {
		return true
	}
	for _, service := range n.fleet.Services() {
		if _, found := table.Service(service); found {
			return true
		}
	}
	return false
}
