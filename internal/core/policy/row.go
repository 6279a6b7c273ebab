// Package policy models the policy table that operators edit: rows, CSV form,
// validation, diffs, and the reducer of the config stream that decides which
// proposed revision is accepted. It performs no I/O.
package policy

// ServiceKind is the kind of a service's callers.
type ServiceKind string

// Service kinds.
const (
	KindLive    ServiceKind = "live"
	KindTrainer ServiceKind = "trainer"
)

// VersionLatest in Row.Version selects the newest version in the weight store.
const VersionLatest uint64 = 0

// Columns is the header of the CSV form, in order.
var Columns = []string{
	"service", "kind", "pool", "model", "version", "priority", "share",
	"staleness", "cap", "repeatable", "zones", "floor",
}

// Row is one service of the table.
type Row struct {
	// Service is the name used by callers: [a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?
	Service string      `msgpack:"s" json:"service"`
	Kind    ServiceKind `msgpack:"k" json:"kind"`
	// Pool is the pool of engines that may run the service.
	Pool string `msgpack:"p" json:"pool"`
	// Model is the weight channel (model or adapter) in the weight store.
	Model string `msgpack:"m" json:"model"`
	// Version pins a weight version (1 or more); VersionLatest ("latest" in
	// CSV) selects the newest.
	Version uint64 `msgpack:"v" json:"version"`
	// Priority is the priority class, 0..9; higher classes are served first.
	Priority int `msgpack:"pr" json:"priority"`
	// Share is the weight of the service within its priority class, 1..1000.
	Share int `msgpack:"sh" json:"share"`
	// Staleness bounds version lag, 0..1000 ("-" in CSV: no bound, stored as -1).
	// For a trainer: how far a sample's oldest segment may lag behind the
	// trainer's version on delivery. For a live service: how far an engine may lag
	// behind the pool's effective version, the newest version up to the target
	// that Floor percent of the pool's engines have reached.
	Staleness int `msgpack:"st" json:"staleness"`
	// Cap bounds the system-wide requests in flight at engines, 1..1000000 ("-"
	// in CSV: no cap, stored as 0).
	Cap int `msgpack:"c" json:"cap"`
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `msgpack:"r" json:"repeatable"`
	// Zones lists the zones that may run the service, home zone first ("a;b" in
	// CSV; "*": any zone, stored as empty).
	Zones []string `msgpack:"z" json:"zones"`
	// Floor is the percentage of the pool's engines, 0..100, that must stay in
	// service during a weight rollout.
	Floor int `msgpack:"f" json:"floor"`
}

// Table is an accepted revision of the policy table. It is immutable and safe to
// share.
type Table struct {
	// Revision is the offset of the accepting record in the config stream plus 1;
	// 0 is the initial empty table.
	Revision int64 `msgpack:"rev" json:"revision"`
	// Rows are sorted by Service.
	Rows []Row `msgpack:"rows" json:"rows"`
}

// Row returns the row of a service; false if there is none.
func (t *Table) Row(service string) (Row, bool) {
	for i := range t.Rows {
		if t.Rows[i].Service == service {
			return t.Rows[i], true
		}
	}
	return Row{}, false
}

// Source provides the current table on this node. The revision never decreases.
type Source interface {
	Table() *Table
	// Changed returns a channel that is closed once the current revision is
	// higher than the given one.
	Changed(revision int64) <-chan struct{}
	// CheckCurrent returns nil if the node's table is known to be up to date.
	// Otherwise it returns an *errkind.Error of kind NotReady or NotCurrent, and
	// the node must refuse new work.
	CheckCurrent() error
}
