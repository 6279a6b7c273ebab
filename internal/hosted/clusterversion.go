package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/once"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// versionReadTimeout bounds one read of the cluster version, and so how long an unavailable log delays a node's
	// start.
	versionReadTimeout = time.Second
	// versionRetry is the interval between reads while the cluster version is unknown. It grows with the number of
	// nodes, up to maxVersionRetry.
	versionRetry    = 250 * time.Millisecond
	maxVersionRetry = 4 * time.Second
	// versionReadPeriod is the interval between reads while the version may have been raised. It grows with the
	// number of nodes, up to maxVersionReadPeriod.
	versionReadPeriod    = 5 * time.Second
	maxVersionReadPeriod = time.Minute
	// raiseRetry is the interval between the leader's attempts to raise the version.
	raiseRetry = 10 * time.Second
	// observePeriod is the interval between two observations of the live nodes.
	observePeriod = time.Second
)

// clusterVersionOptions are the dependencies of a clusterVersion.
type clusterVersionOptions struct {
	Log eventlog.Log
	// Topic names a compacted topic of the log.
	Topic string
	Build clusterversion.Version
	// Holder identifies this process in the log.
	Holder string
	// View returns the versions of the live nodes.
	View func() clusterversion.View
	// Leads reports whether this node is the leader. Only the leader raises the version.
	Leads  func() bool
	Budget pacing.Budget
	// OnVersions receives the cluster version and the lowest version of the live nodes.
	OnVersions func(cluster, lowest clusterversion.Version)
	Logger     zerolog.Logger
}

// clusterVersion follows the cluster version in the log. It is safe for concurrent use.
type clusterVersion struct {
	options clusterVersionOptions
	// now is a clock that keeps running while the machine is suspended, since nodes may join during that time.
	now func() time.Time
	// known is closed once the version has been read.
	known chan struct{}
	// tooOld receives an error if this build is below the cluster version.
	tooOld chan error

	mu    sync.Mutex
	state *clusterversion.State
	// lastLogged is the newest view that has been logged.
	lastLogged clusterversion.View
	// unknownKinds are the unknown record kinds that have been logged.
	unknownKinds once.PerKey
}

func newClusterVersion(options clusterVersionOptions) *clusterVersion {
	return &clusterVersion{
		options: options, now: boottime.Now, known: make(chan struct{}), tooOld: make(chan error, 1),
		state: clusterversion.New(options.Build),
	}
}

// checkBuild returns an error if this build is below the cluster version. A failed read is not an error, so that a
// node can start during an outage of the log.
func (c *clusterVersion) checkBuild(ctx context.Context) error {
	err := c.read(ctx)
	var tooOld *clusterversion.TooOldError
	if errors.As(err, &tooOld) {
		return err
	}
	if err != nil {
		c.options.Logger.Info().Err(err).Msg("cluster version not read at the start")
	}
	return nil
}

// Known returns a channel that is closed once the cluster version has been read.
func (c *clusterVersion) Known() <-chan struct{} { return c.known }

// Supports reports whether a feature may be used that requires all live nodes to support the version.
func (c *clusterVersion) Supports(version clusterversion.Version) bool {
	view := c.options.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Supports(version, view)
}

// Run observes the live nodes, reads the cluster version while it may change, and raises it while this node leads.
// It returns when ctx ends or the build turns out to be too old.
func (c *clusterVersion) Run(ctx context.Context) error {
	var readAt, raisedAt time.Time
	for ctx.Err() == nil {
		now := c.now()
		needsRead, period := c.observe(now)
		if needsRead && now.Sub(readAt) >= period {
			readAt = now
			if c.stopIfTooOld(c.read(ctx)) {
				return nil
			}
		}
		if now.Sub(raisedAt) >= raiseRetry && c.raiseIfDue(ctx) {
			raisedAt = now
		}
		retry.Sleep(ctx, min(observePeriod, period))
	}
	return nil
}

// observe applies the versions of the live nodes. It returns whether the log has to be read, and at which interval.
func (c *clusterVersion) observe(now time.Time) (needsRead bool, period time.Duration) {
	view := c.options.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Observe(view, now)
	c.options.OnVersions(c.state.Cluster(), view.Lowest)
	if view.Lowest != c.lastLogged.Lowest || view.Highest != c.lastLogged.Highest {
		c.lastLogged = view
		c.options.Logger.Info().Uint32("lowest", uint32(view.Lowest)).Uint32("highest", uint32(view.Highest)).
			Uint32("build", uint32(c.options.Build)).Uint32("cluster", uint32(c.state.Cluster())).
			Msg("versions of live nodes changed")
	}
	if !c.state.Known() {
		return true, c.options.Budget.ScalePeriod(versionRetry, maxVersionRetry)
	}
	return c.state.NeedsRead(view), c.options.Budget.ScalePeriod(versionReadPeriod, maxVersionReadPeriod)
}

// stopIfTooOld requests a stop of the node if err says that its build is too old, and reports whether it did.
func (c *clusterVersion) stopIfTooOld(err error) bool {
	var tooOld *clusterversion.TooOldError
	if !errors.As(err, &tooOld) {
		return false
	}
	c.tooOld <- err
	return true
}

func (c *clusterVersion) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	batch, err := c.options.Log.Newest(ctx, c.options.Topic)
	if err != nil {
		return errors.Wrap(err, "read the cluster version")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wasKnown, before := c.state.Known(), c.state.Cluster()
	err = c.state.Apply(c.highestLocked(batch.Records))
	if !wasKnown {
		close(c.known)
	}
	if cluster := c.state.Cluster(); !wasKnown || cluster != before || err != nil {
		c.options.Logger.Info().Err(err).Uint32("cluster", uint32(cluster)).Uint32("build", uint32(c.options.Build)).
			Msg("cluster version read")
	}
	return err
}

// highestLocked returns the highest version to which the records raise the cluster. Must be called with mu held.
func (c *clusterVersion) highestLocked(records []eventlog.KeyedRecord) clusterversion.Version {
	highest := clusterversion.Unversioned
	for _, record := range records {
		if kind := clusterversion.KindOf(record.Key); !clusterversion.IsRaised(kind) {
			c.logUnknown(kind, record.Offset)
			continue
		}
		raised, err := clusterversion.DecodeRaised(record.Value)
		if err != nil {
			c.options.Logger.Error().Err(err).Str("key", record.Key).Int64("offset", record.Offset).
				Msg("cluster version record skipped")
			continue
		}
		highest = max(highest, raised.Version)
	}
	return highest
}

func (c *clusterVersion) logUnknown(kind string, offset int64) {
	if c.unknownKinds.First(kind) {
		c.options.Logger.Warn().Str("kind", kind).Str("topic", c.options.Topic).Int64("offset", offset).
			Msg("records of unknown kind skipped")
	}
}

// raiseIfDue raises the cluster version if this node leads and all live nodes support the next one. It reports
// whether it attempted to.
func (c *clusterVersion) raiseIfDue(ctx context.Context) bool {
	c.mu.Lock()
	version, due := c.state.PendingRaise()
	c.mu.Unlock()
	if !due || !c.options.Leads() {
		return false
	}
	err := c.write(ctx, clusterversion.Raised{Version: version, Holder: c.options.Holder})
	if err != nil {
		c.options.Logger.Warn().Err(err).Uint32("cluster", uint32(version)).Msg("cluster version not raised")
		return true
	}
	c.options.Logger.Info().Uint32("cluster", uint32(version)).Msg("cluster version raised")
	_ = c.read(ctx)
	return true
}

func (c *clusterVersion) write(ctx context.Context, raised clusterversion.Raised) error {
	value, err := raised.Encode()
	if err != nil {
		return err
	}
	record := eventlog.KeyedRecord{Key: raised.Key(), Value: value}
	return c.options.Log.PutKeyed(ctx, c.options.Topic, []eventlog.KeyedRecord{record})
}

func (n *node) clusterVersionOptions() clusterVersionOptions {
	return clusterVersionOptions{
		Log: n.log, Topic: n.platform.VersionTopic(), Build: clusterversion.Build, Holder: n.holder,
		View: n.directory.Versions, Leads: func() bool { return n.runner.Load() != nil },
		Budget: n.directory.Budget(), OnVersions: n.metrics.observeVersions, Logger: n.logger,
	}
}

// Label values of the version gauge.
const (
	versionOfCluster    = "cluster"
	versionOfLowestNode = "lowest_node"
)

// addVersionMetrics registers the version gauge.
func (m *metrics) addVersionMetrics(registry *prometheus.Registry) {
	m.versions = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "corkpulley_hosted_protocol_version",
		Help: "Protocol version of the cluster, and the lowest one of the live nodes, as this node knows.",
	}, []string{"of"})
	registry.MustRegister(m.versions)
}

func (m *metrics) observeVersions(cluster, lowest clusterversion.Version) {
	m.versions.WithLabelValues(versionOfCluster).Set(float64(cluster))
	m.versions.WithLabelValues(versionOfLowestNode).Set(float64(lowest))
}
