package weights

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/core/weights"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	// claimTimeout limits one attempt to claim a stream.
	claimTimeout = 5 * time.Second
	// releaseTimeout limits the wait for a release to be read back.
	releaseTimeout = 5 * time.Second
	// announcementTimeout is how long a live owner according to the log may fail
	// to announce its ownership before the stream is claimed.
	announcementTimeout = 5 * time.Second
	// snapshotEvery is the number of records between snapshots.
	snapshotEvery = 256
)

// ownership claims and releases the stream of one model for this node. The stream
// is open only while this node is the owner or the preferred owner, to limit the
// number of streams read. It is not safe for concurrent use.
type ownership struct {
	options  Options
	selector *ownerSelector
	name     string
	logger   zerolog.Logger

	stream  *logstream.TailedStream
	reducer *logrecord.OwnershipReducer
	// unannouncedSince is when a live owner was first seen not to announce its ownership.
	unannouncedSince time.Time
	// owning is set while the stream is owned; claimBackoff delays claims after losses.
	owning       bool
	claimBackoff weights.ClaimBackoff
}

func newOwnership(options Options, selector *ownerSelector, model string, logger zerolog.Logger) *ownership {
	return &ownership{options: options, selector: selector, name: StreamName(model), logger: logger}
}

// acquire claims the stream if this node should own it, and returns the epoch that
// it holds according to the log as read so far; 0 if none.
func (o *ownership) acquire(ctx context.Context) int64 {
	if epoch := o.heldEpoch(); epoch != 0 {
		o.unannouncedSince = time.Time{}
		o.owning = true
		return epoch
	}
	if o.owning {
		o.owning = false
		o.claimBackoff.RecordLoss(time.Now())
	}
	if !o.shouldClaim() {
		o.unannouncedSince = time.Time{}
		o.close()
		return 0
	}
	o.claim(ctx)
	return o.heldEpoch()
}

// heldEpoch returns the epoch that this process holds according to the stream's state;
// 0 if none. The state may be outdated while the log is unavailable; engines then
// reject directives of a lower epoch.
func (o *ownership) heldEpoch() int64 {
	if o.stream == nil {
		return 0
	}
	fence := o.fence()
	if !fence.OwnedBy(o.stream.Writer(), fence.Epoch) {
		return 0
	}
	return fence.Epoch
}

func (o *ownership) fence() logrecord.Fence {
	var fence logrecord.Fence
	o.stream.View(func() { fence = o.reducer.Fence() })
	return fence
}

// shouldClaim reports whether this node is the preferred owner and no other live
// node announces ownership of the stream.
func (o *ownership) shouldClaim() bool {
	candidates := o.options.View.Candidates("")
	if o.selector.owner(candidates, o.name) != o.options.NodeID {
		return false
	}
	owner, _, announced := o.options.View.Owner(o.name)
	if !announced || owner.ID == o.options.NodeID {
		return true
	}
	return !isCandidate(candidates, owner.ID)
}

func isCandidate(candidates []cluster.Member, id string) bool {
	for _, member := range candidates {
		if member.ID == id {
			return true
		}
	}
	return false
}

// claim proposes a claim based on the stream's current state. The caller reads the
// outcome from that state, so an unknown outcome needs no handling here.
func (o *ownership) claim(ctx context.Context) {
	o.open()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := o.stream.CatchUp(ctx); err != nil {
		o.logger.Warn().Err(err).Msg("log unavailable, model not claimed")
		return
	}
	fence := o.fence()
	if o.awaitsAnnouncement(fence) || fence.Owned() && !o.claimBackoff.MayClaim(time.Now()) {
		return
	}
	outcome, err := o.stream.Propose(ctx, logstream.Proposal{
		Kind: logrecord.KindClaim,
		Body: logrecord.Claim{
			PreviousEpoch: fence.Epoch,
			Node:          o.options.NodeID,
			Address:       o.options.PeerAddress,
		},
	})
	if err != nil {
		o.logger.Warn().Err(err).Msg("outcome of the claim is unknown")
		return
	}
	o.logger.Info().Int64("offset", outcome.Offset).
		Bool("accepted", outcome.Verdict == logrecord.Accepted).Msg("claimed model")
}

// awaitsAnnouncement reports whether the owner according to the log is live and
// announcementTimeout has not passed yet.
func (o *ownership) awaitsAnnouncement(fence logrecord.Fence) bool {
	if !fence.Owned() || fence.Owner == o.options.NodeID {
		return false
	}
	if !isCandidate(o.options.View.Candidates(""), fence.Owner) {
		return false
	}
	if o.unannouncedSince.IsZero() {
		o.unannouncedSince = time.Now()
	}
	return time.Since(o.unannouncedSince) < announcementTimeout
}

func (o *ownership) open() {
	if o.stream != nil {
		return
	}
	o.reducer = &logrecord.OwnershipReducer{}
	o.stream = o.options.Manager.Open(o.name, o.reducer, logstream.StreamOptions{SnapshotEvery: snapshotEvery})
}

func (o *ownership) close() {
	if o.stream == nil {
		return
	}
	o.stream.Close()
	o.stream = nil
	o.reducer = nil
}

// release releases the epoch if one is held. It is best effort.
func (o *ownership) release(ctx context.Context) {
	epoch := o.heldEpoch()
	if epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := o.stream.Propose(ctx, logstream.Proposal{
		Kind:  logrecord.KindRelease,
		Epoch: epoch,
		Body:  message.Empty{},
	})
	if err != nil {
		o.logger.Warn().Err(err).Int64("epoch", epoch).Msg("release was not confirmed")
	}
}
