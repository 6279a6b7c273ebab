package logrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/replicaset"
	"github.com/corkpulley/corkpulley/internal/core/topology"
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

// directoryRetries are the delays between tries while the node cannot announce itself or read of the others.
var directoryRetries = retry.Policy{First: 100 * time.Millisecond, Longest: time.Second}

// member is a record of the directory, encoded as msgpack.
type member struct {
	Node    string `msgpack:"n"`
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z,omitempty"`
	Region  string `msgpack:"r,omitempty"`
	// Processors is the node's share of processors; zero when unknown.
	Processors float64 `msgpack:"p,omitempty"`
	// Version is the protocol version of the node's build; zero in builds that announced none.
	Version clusterversion.Version `msgpack:"v,omitempty"`
	// TTL is how long the announcement stays valid.
	TTL time.Duration `msgpack:"l"`
}

// Directory knows where other nodes listen.
type Directory struct {
	log    eventlog.Log
	own    member
	limits pacing.Limits
	logger zerolog.Logger
	// bootstrap reads the newest announcements, and next is the offset to read from; used by Run's goroutine only.
	bootstrap bootstrap
	next      int64

	mu      sync.Mutex
	members map[string]member
	seenAt  map[string]time.Time
	// sources are the replicas that this node asks, isReplica whether it is one.
	sources   []string
	isReplica bool
	// known is closed once the directory was read for the first time, settled once two reads in a row have
	// found about the same nodes.
	known   chan struct{}
	settled chan struct{}
	// lastSize is the number of nodes that the read before found; zero before the first one.
	lastSize int
	// lastReadAt is when the directory was read last.
	lastReadAt time.Time
}

// Self says who this node is.
type Self struct {
	Node string
	// Address is where it listens for other nodes.
	Address string
	Zone    string
	Region  string
	// Processors is its share of processors; zero when unknown.
	Processors float64
	// Version is the protocol version of its build.
	Version clusterversion.Version
}

// NewDirectory returns a directory for a node. The limits are those of the log for all nodes together.
func NewDirectory(log eventlog.Log, self Self, limits pacing.Limits, logger zerolog.Logger) *Directory {
	own := member{
		Node: self.Node, Address: self.Address, Zone: self.Zone, Region: self.Region, Processors: self.Processors,
		Version: self.Version,
	}
	return &Directory{
		log: log, own: own, limits: limits, logger: logger,
		members: make(map[string]member), seenAt: make(map[string]time.Time),
		known: make(chan struct{}), settled: make(chan struct{}),
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

// AddressOf returns where another node listens; empty when it is not known to be there.
func (d *Directory) AddressOf(node string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.alive(node) {
		return ""
	}
	return d.members[node].Address
}

// Others returns the other nodes.
func (d *Directory) Others() []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []Peer
	for node, each := range d.members {
		if d.alive(node) {
			others = append(others, Peer{
				Address: each.Address, Region: each.Region, Distance: topology.Between(d.own.place(), each.place()),
			})
		}
	}
	return others
}

// DistanceOf returns how far the node at an address is; far where it is not known.
func (d *Directory) DistanceOf(address string) topology.Distance {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, each := range d.members {
		if each.Address == address {
			return topology.Between(d.own.place(), each.place())
		}
	}
	return topology.OtherRegion
}

// HasNodeIn tells whether a node within the regions is known, be it this one.
func (d *Directory) HasNodeIn(regions homes.Set) bool {
	if regions.Allows(d.own.Region) {
		return true
	}
	return slices.ContainsFunc(d.Others(), func(other Peer) bool { return regions.Allows(other.Region) })
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

// alive tells whether another node announced itself within its TTL; mu is held.
func (d *Directory) alive(node string) bool {
	return node != d.own.Node && time.Since(d.seenAt[node]) < d.members[node].TTL
}

// Budget returns the pacing of this node's reads.
func (d *Directory) Budget() pacing.Budget {
	return pacing.Budget{Limits: d.limits, Nodes: d.Nodes}
}

// Run announces this node and reads of the others until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	// announcedFor is the period for which the newest announcement is valid. A node that has just started knows few
	// others, so that its period grows; its announcement stays valid for the shorter one.
	var announcedFor time.Duration
	var announced time.Time
	failures := directoryRetries.Delays()
	for {
		period := d.Budget().Stretch(announcePeriod, maxAnnouncePeriod)
		isAnnounced := time.Since(announced) < min(period, announcedFor)
		if !isAnnounced && d.announce(ctx, period) == nil {
			announced, announcedFor, isAnnounced = time.Now(), period, true
		}
		isRead := d.read(ctx)
		if isRead {
			d.chooseReplicas()
		}
		delay := d.untilRead()
		if isAnnounced && isRead {
			failures.Reset()
		} else {
			delay = max(delay, failures.NextBackOff())
		}
		if !retry.Sleep(ctx, delay) {
			return nil
		}
	}
}

func (d *Directory) announce(ctx context.Context, period time.Duration) error {
	own := d.own
	own.TTL = missedAnnouncements * period
	raw, err := msgpack.Marshal(&own)
	if err != nil {
		return errors.Wrap(err, "encode the member")
	}
	_, err = d.log.Append(ctx, eventlog.Partition{Topic: directoryTopic}, [][]byte{raw})
	return err
}

// Sources returns the addresses of the replicas that this node asks for followed
// topics, the first choice first; none when it reads the log itself.
func (d *Directory) Sources() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sources
}

// SourcesWithin returns those of the replicas within the regions that this node asks, the first choice
// first; none when it answers itself.
func (d *Directory) SourcesWithin(regions homes.Set) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !regions.Bound() {
		return d.sources
	}
	return d.sourcesAmong(d.candidates(), regions)
}

// AnswersWithin tells whether this node answers questions of others that are bound to the regions.
func (d *Directory) AnswersWithin(regions homes.Set) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReplica || replicaset.Answers(d.candidates(), d.own.candidate(), regions)
}

// IsReplica tells whether this node hands followed topics to others.
func (d *Directory) IsReplica() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReplica
}

// chooseReplicas decides from the nodes known now.
func (d *Directory) chooseReplicas() {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := d.candidates()
	isReplica := slices.Contains(replicaset.Replicas(members, d.own.Zone), d.own.candidate())
	sources := d.sourcesAmong(members, homes.Set{})
	if isReplica != d.isReplica || !slices.Equal(sources, d.sources) {
		d.logger.Info().Bool("replica", isReplica).Strs("sources", sources).Int("nodes", len(members)).
			Msg("sources of followed topics changed")
	}
	d.isReplica, d.sources = isReplica, sources
	d.observeSize(len(members))
	if !isClosed(d.known) {
		close(d.known)
	}
}

// candidates returns all nodes known, this one included; mu is held.
func (d *Directory) candidates() []replicaset.Member {
	members := []replicaset.Member{d.own.candidate()}
	for node, each := range d.members {
		if d.alive(node) {
			members = append(members, each.candidate())
		}
	}
	return members
}

// sourcesAmong returns the replicas within the regions that this node asks; mu is held.
func (d *Directory) sourcesAmong(members []replicaset.Member, regions homes.Set) []string {
	var sources []string
	for _, source := range replicaset.Sources(members, d.own.candidate(), regions) {
		sources = append(sources, source.Address)
	}
	return sources
}

func (m member) candidate() replicaset.Member {
	return replicaset.Member{
		Node: m.Node, Zone: m.Zone, Region: m.Region, Address: m.Address, Processors: m.Processors,
	}
}

func (m member) place() topology.Place { return topology.Place{Zone: m.Zone, Region: m.Region} }

// Known is closed once the node has read of the others.
func (d *Directory) Known() <-chan struct{} { return d.known }

// read applies what is new in the directory and reports whether it could be read.
func (d *Directory) read(ctx context.Context) bool {
	if !d.bootstrap.done {
		return d.readRecent(ctx)
	}
	batch, err := d.log.Read(ctx, eventlog.Partition{Topic: directoryTopic}, d.next, readLimit, 0)
	var gone *eventlog.GoneError
	if errors.As(err, &gone) {
		d.next = gone.First
		return false
	}
	if err != nil {
		return false
	}
	d.next += int64(len(batch.Records))
	d.recordRead()
	d.apply(decodeMembers(batch.Records, batch.First, d.logger))
	return true
}

// decodeMembers returns the announcements that can be read, in their order.
func decodeMembers(records [][]byte, first int64, logger zerolog.Logger) []member {
	members := make([]member, 0, len(records))
	for i, raw := range records {
		var each member
		if msgpackguard.Check(raw) != nil || msgpack.Unmarshal(raw, &each) != nil || each.Node == "" {
			logger.Error().Int64("offset", first+int64(i)).Msg("directory record passed over")
			continue
		}
		members = append(members, each)
	}
	return members
}

// apply records announcements, the newest last.
func (d *Directory) apply(announced []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	listed := 0
	for _, each := range announced {
		if known, found := d.members[each.Node]; !found || known.Address != each.Address {
			listed++
		}
		d.members[each.Node], d.seenAt[each.Node] = each, now
	}
	if listed > 0 {
		// One line for all: nodes times nodes lines would outnumber all others.
		d.logger.Info().Int("listed", listed).Int("known", len(d.members)).Msg("nodes listed")
	}
}
