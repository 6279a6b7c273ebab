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
	// directoryTopic holds the announcements: which nodes exist and where they listen.
	directoryTopic = "corkpulley.nodes"
	// announcePeriod is the time between two announcements of a node; it grows with the cluster up to
	// maxAnnouncePeriod. A node is no longer live after missedAnnouncements periods without one.
	announcePeriod      = 5 * time.Second
	maxAnnouncePeriod   = 30 * time.Second
	missedAnnouncements = 4
	readPeriod          = time.Second
	maxReadPeriod       = 5 * time.Second
	maxReadBytes        = 256 << 10
)

// directoryRetries are the delays between attempts while the node cannot announce itself or read the directory. After
// the first few they are 1 to 1.5 s: all nodes of a cluster may retry at once, and the log serves each of them one
// announcement and one read per second.
var directoryRetries = retry.Policy{First: 100 * time.Millisecond, Longest: 1250 * time.Millisecond, Jitter: 0.2}

// member is an announcement in the directory, encoded as msgpack.
type member struct {
	Node    string `msgpack:"n"`
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z,omitempty"`
	Region  string `msgpack:"r,omitempty"`
	// Processors is the number of CPUs that the node may use; zero if unknown.
	Processors float64 `msgpack:"p,omitempty"`
	// Version is the protocol version of the node's build; zero for builds that announce none.
	Version clusterversion.Version `msgpack:"v,omitempty"`
	// TTL is the validity of the announcement.
	TTL time.Duration `msgpack:"l"`
}

// Directory tracks the nodes of the cluster, their addresses and locations, and which of them serve as replicas. It
// is safe for concurrent use.
type Directory struct {
	log    eventlog.Log
	own    member
	limits pacing.Limits
	logger zerolog.Logger
	// bootstrap reads the newest announcements; next is the offset to read from. Both are used by Run's goroutine
	// only.
	bootstrap bootstrap
	next      int64

	mu      sync.Mutex
	members map[string]member
	seenAt  map[string]time.Time
	// sources are the addresses of the replicas that this node reads from; isReplica is true if it is a replica
	// itself.
	sources   []string
	isReplica bool
	// loaded is closed after the first complete read of the directory; settled is closed once two consecutive reads
	// have found about the same number of nodes.
	loaded  chan struct{}
	settled chan struct{}
	// lastSize is the number of nodes after the previous read; zero before the first one.
	lastSize   int
	lastReadAt time.Time
}

// NodeInfo describes this node.
type NodeInfo struct {
	Node string
	// Address is where the node listens for other nodes.
	Address string
	Zone    string
	Region  string
	// Processors is the number of CPUs that the node may use; zero if unknown.
	Processors float64
	// Version is the protocol version of the node's build.
	Version clusterversion.Version
}

// NewDirectory returns a directory for a node. The limits are what the log serves to all nodes together.
func NewDirectory(log eventlog.Log, self NodeInfo, limits pacing.Limits, logger zerolog.Logger) *Directory {
	own := member{
		Node: self.Node, Address: self.Address, Zone: self.Zone, Region: self.Region, Processors: self.Processors,
		Version: self.Version,
	}
	return &Directory{
		log: log, own: own, limits: limits, logger: logger,
		members: make(map[string]member), seenAt: make(map[string]time.Time),
		loaded: make(chan struct{}), settled: make(chan struct{}),
	}
}

// SetLog replaces the log that holds the directory. Must be called before Run.
func (d *Directory) SetLog(log eventlog.Log) { d.log = log }

// PeerAddresses returns the addresses of the other live nodes.
func (d *Directory) PeerAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for node, each := range d.members {
		if d.isAlive(node) {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// AddressOf returns the address of another node; empty if it is unknown or not live.
func (d *Directory) AddressOf(node string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isAlive(node) {
		return ""
	}
	return d.members[node].Address
}

// Peers returns the other live nodes.
func (d *Directory) Peers() []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var peers []Peer
	for node, each := range d.members {
		if d.isAlive(node) {
			peers = append(peers, Peer{
				Address: each.Address, Region: each.Region, Distance: topology.Between(d.own.place(), each.place()),
			})
		}
	}
	return peers
}

// DistanceOf returns the distance to the node at an address; OtherRegion if the address is unknown.
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

// HasNodeIn reports whether this node, or another live one, is in one of the regions.
func (d *Directory) HasNodeIn(regions homes.Set) bool {
	if regions.Allows(d.own.Region) {
		return true
	}
	return slices.ContainsFunc(d.Peers(), func(other Peer) bool { return regions.Allows(other.Region) })
}

// Nodes returns the number of live nodes, including this one.
func (d *Directory) Nodes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := 1
	for node := range d.members {
		if d.isAlive(node) {
			nodes++
		}
	}
	return nodes
}

// isAlive reports whether another node announced itself within its TTL. Must be called with mu held.
func (d *Directory) isAlive(node string) bool {
	return node != d.own.Node && time.Since(d.seenAt[node]) < d.members[node].TTL
}

// Budget returns the budget that paces this node's reads of the log.
func (d *Directory) Budget() pacing.Budget {
	return pacing.Budget{Limits: d.limits, Nodes: d.Nodes}
}

// Run announces this node and reads the announcements of others until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	// announcedPeriod is the period that determined the TTL of the newest announcement. The period grows as a
	// starting node learns of others, but the TTL of an announcement already made does not.
	var announcedPeriod time.Duration
	var announcedAt time.Time
	failures, progress := directoryRetries.Delays(), retry.Begin()
	for {
		period := d.Budget().ScalePeriod(announcePeriod, maxAnnouncePeriod)
		isAnnounced := time.Since(announcedAt) < min(period, announcedPeriod)
		if !isAnnounced && d.announce(ctx, period) == nil {
			announcedAt, announcedPeriod, isAnnounced = time.Now(), period, true
		}
		isRead := d.read(ctx)
		if isRead {
			d.chooseReplicas()
			d.markLoaded(&progress)
		}
		delay := d.untilRead()
		if isAnnounced && isRead {
			failures.Reset()
		} else {
			delay = max(delay, failures.NextBackOff())
			progress.RecordFailure(delay)
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
		return errors.Wrap(err, "encode announcement")
	}
	_, err = d.log.Append(ctx, eventlog.Partition{Topic: directoryTopic}, [][]byte{raw})
	return err
}

// Sources returns the addresses of the replicas from which this node reads followed topics, in order of preference;
// empty if it reads the log itself.
func (d *Directory) Sources() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sources
}

// SourcesWithin is Sources restricted to the regions; empty if this node serves such reads itself.
func (d *Directory) SourcesWithin(regions homes.Set) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !regions.IsRestricted() {
		return d.sources
	}
	return d.sourcesAmong(d.candidates(), regions)
}

// ServesReadsWithin reports whether this node serves other nodes' reads that are restricted to the regions.
func (d *Directory) ServesReadsWithin(regions homes.Set) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReplica || replicaset.ServesNodesOutside(d.candidates(), d.own.candidate(), regions)
}

// IsReplica reports whether this node serves followed topics to other nodes.
func (d *Directory) IsReplica() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReplica
}

// chooseReplicas selects the replicas among the live nodes.
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
	d.recordSize(len(members))
}

// markLoaded closes loaded after the first complete read.
func (d *Directory) markLoaded(progress *retry.Progress) {
	if isClosed(d.loaded) {
		return
	}
	close(d.loaded)
	d.logger.Info().EmbedObject(progress).Msg("node directory loaded")
}

// candidates returns all live nodes, including this one. Must be called with mu held.
func (d *Directory) candidates() []replicaset.Member {
	members := []replicaset.Member{d.own.candidate()}
	for node, each := range d.members {
		if d.isAlive(node) {
			members = append(members, each.candidate())
		}
	}
	return members
}

// sourcesAmong returns the addresses of the replicas within the regions that this node reads from. Must be called
// with mu held.
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

// Loaded is closed after the first complete read of the directory.
func (d *Directory) Loaded() <-chan struct{} { return d.loaded }

// read applies new announcements and reports whether the directory could be read.
func (d *Directory) read(ctx context.Context) bool {
	if !d.bootstrap.done {
		return d.readRecent(ctx)
	}
	batch, err := d.log.Read(ctx, eventlog.Partition{Topic: directoryTopic}, d.next, maxReadBytes, 0)
	var trimmed *eventlog.TrimmedError
	if errors.As(err, &trimmed) {
		d.next = trimmed.First
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

// decodeMembers returns the announcements in their order, without those that cannot be decoded.
func decodeMembers(records [][]byte, first int64, logger zerolog.Logger) []member {
	members := make([]member, 0, len(records))
	for i, raw := range records {
		var each member
		if msgpackguard.Check(raw) != nil || msgpack.Unmarshal(raw, &each) != nil || each.Node == "" {
			logger.Error().Int64("offset", first+int64(i)).Msg("skipping a directory record that cannot be decoded")
			continue
		}
		members = append(members, each)
	}
	return members
}

// apply adds announcements, newest last.
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
		// One line for all nodes: with a line per node, the lines of all nodes would grow quadratically with the
		// cluster.
		d.logger.Info().Int("listed", listed).Int("known", len(d.members)).Msg("new node addresses read from the directory")
	}
}
