// Package tables maintains this node's active table: the highest revision
// received from the config stream or from a peer. It also proposes edits and
// reports whether the active table is recent enough to accept new work.
//
// Invariant: the active revision only increases. A revision identifies one
// immutable table (it is the offset of the accepting record plus 1), so tables
// from the stream and from peers are interchangeable.
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
	// peerPollInterval is how often the members' announced revisions are checked. The log notifies
	// most nodes of a new revision; without it, the interval is short compared with an announcement.
	peerPollInterval = 250 * time.Millisecond
	// contactPollInterval is how often the time of the last log contact is checked.
	contactPollInterval = 500 * time.Millisecond
	// maxRecentTables bounds the tables retained to send only the changed rows to peers.
	maxRecentTables = 64
)

// Options holds the dependencies of Tables; all but Logger are required.
type Options struct {
	// Stream is the config stream, reduced by Reducer.
	Stream  logstream.Stream
	Reducer *policy.Reducer
	// Caller and Registry are the peer transport; New registers peer.MethodTable.
	Caller    peer.Caller
	Registry  peer.Registry
	View      cluster.View
	Announcer cluster.Announcer
	// LastLogContact returns when this node last read to the end of the config
	// stream (local clock), or the zero time if it never did.
	LastLogContact func() time.Time
	Logger         zerolog.Logger
}

// Tables implements policy.Source. Its methods may be called from any goroutine.
type Tables struct {
	options Options

	// table is the active table; it is only written with mutex held.
	table atomic.Pointer[policy.Table]
	// caughtUp is set once this node has loaded the latest revision.
	caughtUp atomic.Bool

	mutex     sync.Mutex
	changed   chan struct{}   // closed and replaced at each new revision
	recent    []*policy.Table // up to maxRecentTables, in ascending order of revision
	pending   map[string]bool // proposal IDs with an append in progress
	lastProbe time.Time       // start of the last successful read by probeLog
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

// Run updates the table from the config stream and from peers until ctx is
// done; it then returns ctx's error.
func (t *Tables) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.watchStream(ctx) })
	group.Go(func() error { return t.watchPeers(ctx) })
	group.Go(func() error { return t.announceContact(ctx) })
	group.Go(func() error { return t.probeLog(ctx) })
	group.Go(func() error { return t.catchUpFromLog(ctx) })
	group.Go(func() error { return t.catchUpFromPeers(ctx) })
	return group.Wait()
}

// Table returns the active table; it is never nil.
func (t *Tables) Table() *policy.Table { return t.table.Load() }

// Changed returns a channel that is closed once the active revision is higher
// than the given one.
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

// adopt makes the table active if its revision is higher than the active one.
func (t *Tables) adopt(table *policy.Table, source string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if table.Revision <= t.table.Load().Revision {
		return
	}
	t.table.Store(table)
	t.recent = append(t.recent, table)
	if len(t.recent) > maxRecentTables {
		t.recent = append([]*policy.Table(nil), t.recent[1:]...)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.options.Announcer.AnnounceTableRevision(table.Revision)
	t.options.Logger.Info().Int64("revision", table.Revision).Int("rows", len(table.Rows)).
		Str("source", source).Msg("table revision activated")
}

// recentTable returns an earlier active table, if it is still retained.
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

// watchStream adopts each revision that the config stream accepts.
func (t *Tables) watchStream(ctx context.Context) error {
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

// adoptFromStream adopts the table of the config stream's reducer.
func (t *Tables) adoptFromStream() {
	var table *policy.Table
	t.options.Stream.View(func() { table = t.options.Reducer.Table() })
	t.adopt(table, "log")
}
