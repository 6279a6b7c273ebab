// Package tables keeps the table revision in force on this node: the highest
// of what the config stream gave and what a peer gave. It also proposes edits
// and tells whether this node may know that its table is current.
//
// Invariant: the table in force only moves to higher revisions. A revision
// names one table for ever (it is the offset of the accepting record plus 1),
// so it does not matter from whom it came.
package tables

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// peersInterval is how often the members' announced revisions are looked
	// at. The log tells most nodes of a new revision; without it, this is small
	// against the time that the announcement takes.
	peersInterval = 250 * time.Millisecond
	// contactInterval is how often the log contact is looked at. It is small
	// against probeAfter and ContactLimit.
	contactInterval = 500 * time.Millisecond
	// keptTables bounds the tables kept to answer peers with rows changed.
	keptTables = 64
)

// Options are the parts that Tables is built on; all but Logger are needed.
type Options struct {
	// Stream is the config stream, reduced by Reducer.
	Stream  logstream.Stream
	Reducer *policy.Reducer
	// Caller and Registry are the peer transport; New registers MethodTable.
	Caller    peer.Caller
	Registry  peer.Registry
	View      cluster.View
	Announcer cluster.Announcer
	// LastLogContact tells when this node last read to the end of the config
	// stream (local clock); the zero time when it never did.
	LastLogContact func() time.Time
	Logger         zerolog.Logger
}

// Tables implements policy.Source. Its methods may be called from any goroutine.
type Tables struct {
	options Options

	// table is the one in force; it is written under mutex only.
	table atomic.Pointer[policy.Table]
	// started is set once this node has known the highest revision.
	started atomic.Bool

	mutex   sync.Mutex
	changed chan struct{}   // closed and replaced at each new revision
	recent  []*policy.Table // up to keptTables, rising revisions
	pending map[string]bool // proposal IDs with an append under way
	probed  time.Time       // when this node last read to the log's end by itself
}

// New returns Tables with the empty table; call Run to fill it.
func New(options Options) *Tables {
	t := &Tables{
		options: options,
		changed: make(chan struct{}),
		pending: make(map[string]bool),
	}
	empty := &policy.Table{}
	t.table.Store(empty)
	t.recent = []*policy.Table{empty}
	options.Registry.HandleCall(peer.MethodTable, t.handleTable)
	return t
}

// Run follows the config stream and the peers until ctx ends; it then returns
// ctx's error.
func (t *Tables) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.followStream(ctx) })
	group.Go(func() error { return t.followPeers(ctx) })
	group.Go(func() error { return t.announceContact(ctx) })
	group.Go(func() error { return t.probeLog(ctx) })
	group.Go(func() error { return t.startFromLog(ctx) })
	group.Go(func() error { return t.startFromPeers(ctx) })
	return group.Wait()
}

// Table returns the table in force; it is never nil.
func (t *Tables) Table() *policy.Table { return t.table.Load() }

// Changed returns a channel that is closed when a higher revision than the
// given one is in force.
func (t *Tables) Changed(revision int64) <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.table.Load().Revision > revision {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return t.changed
}

// adopt puts a table in force if its revision is higher.
func (t *Tables) adopt(table *policy.Table, source string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if table.Revision <= t.table.Load().Revision {
		return
	}
	t.table.Store(table)
	t.recent = append(t.recent, table)
	if len(t.recent) > keptTables {
		t.recent = append([]*policy.Table(nil), t.recent[1:]...)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.options.Announcer.AnnounceTableRevision(table.Revision)
	t.options.Logger.Info().Int64("revision", table.Revision).Int("rows", len(table.Rows)).
		Str("source", source).Msg("table revision in force")
}

// recentTable returns a table that was in force on this node, if it is kept.
func (t *Tables) recentTable(revision int64) (*policy.Table, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, table := range t.recent {
		if table.Revision == revision {
			return table, true
		}
	}
	return nil, false
}

// followStream adopts each revision that the config stream accepts.
func (t *Tables) followStream(ctx context.Context) error {
	for {
		applied := t.options.Stream.Applied()
		t.adoptFromStream()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.options.Stream.Changed(applied):
		}
	}
}

func (t *Tables) adoptFromStream() {
	var table *policy.Table
	t.options.Stream.View(func() { table = t.options.Reducer.Table() })
	t.adopt(table, "log")
}
