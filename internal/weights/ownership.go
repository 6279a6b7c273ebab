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
	// claimTimeout bounds one try to claim; the log may be slow or down.
	claimTimeout = 5 * time.Second
	// releaseTimeout bounds the wait for a release at a planned stop.
	releaseTimeout = 5 * time.Second
	// announcementPatience is how long a live node that owns the stream in the
	// log may go without announcing it before its stream is claimed.
	announcementPatience = 5 * time.Second
	// snapshotEvery keeps the replay of a stream of claims short.
	snapshotEvery = 256
)

// ownership holds this node's side of one orders stream. The stream is open
// only while the node is the preferred owner or the owner, so that a node reads
// few streams. It is used by one goroutine.
type ownership struct {
	options    Options
	preference *preference
	name       string
	logger     zerolog.Logger

	stream  *logstream.TailedStream
	reducer *logrecord.OwnershipReducer
	// silentSince is when a live owner was first found not to announce itself.
	silentSince time.Time
	// owning is set while the stream is held; contest counts its losses.
	owning  bool
	contest weights.Contest
}

func newOwnership(options Options, preference *preference, model string, logger zerolog.Logger) *ownership {
	return &ownership{options: options, preference: preference, name: StreamName(model), logger: logger}
}

// settle claims the stream if this node should, and returns the epoch that it
// holds, as far as the log was read; 0 when it holds none.
func (o *ownership) settle(ctx context.Context) int64 {
	if epoch := o.held(); epoch != 0 {
		o.silentSince = time.Time{}
		o.owning = true
		return epoch
	}
	if o.owning {
		o.owning = false
		o.contest.Lost(time.Now())
	}
	if !o.shouldClaim() {
		o.silentSince = time.Time{}
		o.close()
		return 0
	}
	o.claim(ctx)
	return o.held()
}

// held returns the epoch that the stream's state gives to this process. While
// the log is down the state stays as it was: the engines' fences decide then.
func (o *ownership) held() int64 {
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

// shouldClaim: this node is preferred, and no live node announces the stream.
func (o *ownership) shouldClaim() bool {
	candidates := o.options.View.Candidates("")
	if o.preference.owner(candidates, o.name) != o.options.NodeID {
		return false
	}
	owner, _, announced := o.options.View.Owner(o.name)
	if !announced || owner.ID == o.options.NodeID {
		return true
	}
	return !takesWork(candidates, owner.ID)
}

func takesWork(candidates []cluster.Member, id string) bool {
	for _, member := range candidates {
		if member.ID == id {
			return true
		}
	}
	return false
}

// claim proposes a claim on what the stream says now. Its outcome is read from
// the stream's state, so an unknown one needs no care here.
func (o *ownership) claim(ctx context.Context) {
	o.open()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := o.stream.CatchUp(ctx); err != nil {
		o.logger.Warn().Err(err).Msg("log does not answer, model is not claimed")
		return
	}
	fence := o.fence()
	if o.mustWaitFor(fence) || fence.Owned() && !o.contest.MayClaim(time.Now()) {
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
		o.logger.Warn().Err(err).Msg("outcome of the claim is not known yet")
		return
	}
	o.logger.Info().Int64("offset", outcome.Offset).
		Bool("accepted", outcome.Verdict == logrecord.Accepted).Msg("claimed the model")
}

// mustWaitFor gives a live owner in the log time to announce itself.
func (o *ownership) mustWaitFor(fence logrecord.Fence) bool {
	if !fence.Owned() || fence.Owner == o.options.NodeID {
		return false
	}
	if !takesWork(o.options.View.Candidates(""), fence.Owner) {
		return false
	}
	if o.silentSince.IsZero() {
		o.silentSince = time.Now()
	}
	return time.Since(o.silentSince) < announcementPatience
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

// release gives the epoch up, if one is held.
func (o *ownership) release(ctx context.Context) {
	epoch := o.held()
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
