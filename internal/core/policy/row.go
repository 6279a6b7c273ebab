// Package policy models the table that operators edit: its rows, its CSV form,
// validation, differences, and the reducer of the config stream that decides
// which proposed revision is accepted. It has no input or output.
package policy

// ServiceKind tells who calls a service.
type ServiceKind string

// Kinds of services.
const (
	KindLive    ServiceKind = "live"
	KindTrainer ServiceKind = "trainer"
)

// VersionLatest in Row.Version (as 0) follows the newest version in the weight store.
const VersionLatest uint64 = 0

// Columns is the header of the CSV form, in order.
var Columns = []string{
	"service", "kind", "pool", "model", "version", "priority", "share",
	"staleness", "cap", "repeatable", "zones", "floor",
}

// Row is one service of the table.
type Row struct {
	// Service is the name callers use: [a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?
	Service string      `msgpack:"s" json:"service"`
	Kind    ServiceKind `msgpack:"k" json:"kind"`
	// Pool names the engines that may run the service.
	Pool string `msgpack:"p" json:"pool"`
	// Model is the weight channel (model or adapter) in the weight store.
	Model string `msgpack:"m" json:"model"`
	// Version pins a weight version (1 or more); VersionLatest ("latest" in
	// the CSV form) follows the store.
	Version uint64 `msgpack:"v" json:"version"`
	// Priority 0..9; a higher class is served first.
	Priority int `msgpack:"pr" json:"priority"`
	// Share 1..1000: weight of the service inside its priority class.
	Share int `msgpack:"sh" json:"share"`
	// Staleness is, for a trainer, the largest number of versions that a
	// sample's oldest segment may lie behind the trainer's version when it is
	// delivered (0..1000); for a live service, the largest number of versions
	// an engine may lie behind the one in force in the pool, which is the newest,
	// up to the wanted one, that Floor percent of the pool's engines hold ("-" in
	// the CSV form: no bound, stored as -1).
	Staleness int `msgpack:"st" json:"staleness"`
	// Cap bounds the requests in flight at engines over the whole system
	// (1..1000000; "-" in the CSV form: no cap, stored as 0).
	Cap int `msgpack:"c" json:"cap"`
	// Repeatable is false ("no") for requests that must run at most once.
	Repeatable bool `msgpack:"r" json:"repeatable"`
	// Zones lists the zones that may run the service, home first ("a;b" in the
	// CSV form; "*": any zone, stored as empty).
	Zones []string `msgpack:"z" json:"zones"`
	// Floor is the share of the pool's engines, in percent (0..100), that must
	// stay in service while weights change.
	Floor int `msgpack:"f" json:"floor"`
}

// Table is one accepted revision of the table. It is immutable: share freely.
type Table struct {
	// Revision is the offset of the accepting record in the config stream
	// plus 1; 0 is the empty table before any was accepted.
	Revision int64 `msgpack:"rev" json:"revision"`
	// Rows are sorted by Service.
	Rows []Row `msgpack:"rows" json:"rows"`
}

// Row returns the row of a service.
func (t *Table) Row(service string) (Row, bool) {
	for i := range t.Rows {
		if t.Rows[i].Service == service {
			return t.Rows[i], true
		}
	}
	return Row{}, false
}

// Source gives the table revision in force on this node. Implementations never
// go back to a lower revision.
type Source interface {
	Table() *Table
	// Changed returns a channel that is closed when a higher revision than the
	// given one is in force.
	Changed(revision int64) <-chan struct{}
	// Current returns nil, or why this node cannot know that its table is
	// current and so must refuse new work (*errkind.Error, NotReady or NotCurrent).
	Current() error
}
