package logrelay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// directoryTopic holds where the nodes listen for each other.
	directoryTopic = "corkpulley.nodes"
	// announcePeriod is the time between two records of a node; one that is silent
	// for missedAnnouncements of them is forgotten.
	announcePeriod      = 5 * time.Second
	maxAnnouncePeriod   = 30 * time.Second
	missedAnnouncements = 4
	readPeriod          = time.Second
	maxReadPeriod       = 5 * time.Second
	readLimit           = 256 << 10
)

// member is a record of the directory, encoded as msgpack.
type member struct {
	Node    string `msgpack:"n"`
	Address string `msgpack:"a"`
	// Life is the time after which the node is forgotten unless it is heard again.
	Life time.Duration `msgpack:"l"`
}

// Directory knows where other nodes listen.
type Directory struct {
	log    eventlog.Log
	own    member
	reads  int
	logger zerolog.Logger

	mu      sync.Mutex
	next    int64
	members map[string]member
	seenAt  map[string]time.Time
}

// NewDirectory returns a directory for the node that listens at address. All
// nodes together may make the given number of reads a second, zero for no bound.
func NewDirectory(log eventlog.Log, node, address string, readsPerSecond int, logger zerolog.Logger) *Directory {
	return &Directory{
		log: log, own: member{Node: node, Address: address}, reads: readsPerSecond, logger: logger,
		members: make(map[string]member), seenAt: make(map[string]time.Time),
	}
}

// SetLog sets the log that the directory reads; before Run only.
func (d *Directory) SetLog(log eventlog.Log) { d.log = log }

// Peers returns the addresses of the other nodes.
func (d *Directory) Peers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for node, each := range d.members {
		if d.alive(node) {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// Nodes returns the number of nodes known, this one included.
func (d *Directory) Nodes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := 1
	for node := range d.members {
		if d.alive(node) {
			nodes++
		}
	}
	return nodes
}

// alive tells whether another node was heard within its life; mu is held.
func (d *Directory) alive(node string) bool {
	return node != d.own.Node && time.Since(d.seenAt[node]) < d.members[node].Life
}

// Budget is what all nodes together may read of the log.
func (d *Directory) Budget() pacing.Budget {
	return pacing.Budget{ReadsPerSecond: d.reads, Nodes: d.Nodes}
}

// Run announces this node and reads of the others until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	announced := time.Time{}
	for {
		period := d.Budget().Stretch(announcePeriod, maxAnnouncePeriod)
		if time.Since(announced) >= period && d.announce(ctx, period) == nil {
			announced = time.Now()
		}
		d.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(d.Budget().Stretch(readPeriod, maxReadPeriod)):
		}
	}
}

func (d *Directory) announce(ctx context.Context, period time.Duration) error {
	own := d.own
	own.Life = missedAnnouncements * period
	raw, err := msgpack.Marshal(&own)
	if err != nil {
		return errors.Wrap(err, "encode the member")
	}
	_, err = d.log.Append(ctx, eventlog.Partition{Topic: directoryTopic}, [][]byte{raw})
	return err
}

func (d *Directory) read(ctx context.Context) {
	batch, err := d.log.Read(ctx, eventlog.Partition{Topic: directoryTopic}, d.next, readLimit, 0)
	var gone *eventlog.GoneError
	if errors.As(err, &gone) {
		d.next = gone.First
		return
	}
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	listed := 0
	for _, raw := range batch.Records {
		d.next++
		var each member
		if msgpackguard.Check(raw) != nil || msgpack.Unmarshal(raw, &each) != nil || each.Node == "" {
			d.logger.Error().Int64("offset", d.next-1).Msg("directory record passed over")
			continue
		}
		if known, found := d.members[each.Node]; !found || known.Address != each.Address {
			listed++
		}
		d.members[each.Node], d.seenAt[each.Node] = each, now
	}
	if listed > 0 {
		// One line for all: a line a node at each node would be the most of all lines.
		d.logger.Info().Int("listed", listed).Int("known", len(d.members)).Msg("nodes listed")
	}
}
