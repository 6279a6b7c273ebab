package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/lengths"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/core/weights"
	"github.com/corkpulley/corkpulley/internal/logstream"
)

const (
	// snapshotEvery is the number of records between snapshots of a ledger.
	snapshotEvery = 4096
	// snapshotFormat is the version of the ledger's snapshot encoding.
	snapshotFormat = 1
	// claimInterval is the polling interval for the owner's state.
	claimInterval = 250 * time.Millisecond
)

// follower tails one ledger and claims it when its owner is unavailable.
type follower struct {
	coordinator *Coordinator
	trainer     string
	stream      *logstream.TailedStream
	// ledger must be read only inside stream.View.
	ledger *ledger.Ledger
	// lengths is kept across tenures, which run one at a time; guarded by the
	// mutex of the current tenure.
	lengths *lengths.Estimator
	// claimBackoff delays claims after the ledger was lost to another node.
	claimBackoff weights.ClaimBackoff
	// tenure is set while this node believes that it owns the ledger.
	tenure atomic.Pointer[tenure]
}

func (c *Coordinator) newFollower(trainer string) *follower {
	state := ledger.New()
	stream := c.options.Manager.Open(ledger.StreamName(trainer), state, logstream.StreamOptions{
		SnapshotEvery:  snapshotEvery,
		SnapshotFormat: snapshotFormat,
	})
	return &follower{
		coordinator: c,
		trainer:     trainer,
		stream:      stream,
		ledger:      state,
		lengths:     lengths.New(),
	}
}

// run claims and serves the ledger until ctx is done or this node should no
// longer follow it. It does not return while it owns the ledger and ctx is active.
func (f *follower) run(ctx context.Context) {
	defer f.stream.Close()
	if f.stream.CatchUp(ctx) != nil {
		return
	}
	for ctx.Err() == nil {
		applied := f.stream.Applied()
		fence := f.fence()
		switch {
		case fence.OwnedBy(f.stream.Writer(), fence.Epoch):
			f.serve(ctx, fence.Epoch)
			if f.coordinator.draining.Load() {
				return // a release that was not read back is not retried
			}
			f.claimBackoff.RecordLoss(time.Now())
		case !f.shouldOwn():
			return
		case f.mayClaim(fence) && (!fence.Owned() || f.claimBackoff.MayClaim(time.Now())):
			f.claim(ctx, fence)
		default:
			f.wait(ctx, applied)
		}
	}
}

func (f *follower) fence() logrecord.Fence {
	var fence logrecord.Fence
	f.stream.View(func() { fence = f.ledger.Fence() })
	return fence
}

// shouldOwn reports whether this node should own the ledger if its owner is unavailable.
func (f *follower) shouldOwn() bool {
	c := f.coordinator
	if c.draining.Load() || c.options.Tables.CheckCurrent() != nil {
		return false
	}
	row, err := trainerRow(c.options.Tables.Table(), f.trainer)
	return err == nil && c.isPreferredOwner(row)
}

// mayClaim reports whether the ledger may be claimed. A node has at most one
// follower per trainer, so a ledger owned by an earlier follower may be claimed.
func (f *follower) mayClaim(fence logrecord.Fence) bool {
	options := &f.coordinator.options
	return fence.Owner == options.NodeID || ownerUnavailable(options.View, fence)
}

// claim proposes a claim and waits until it is read back. run checks the fence
// again afterwards, so a lost or late response needs no handling here.
func (f *follower) claim(ctx context.Context, fence logrecord.Fence) {
	options := &f.coordinator.options
	outcome, err := f.stream.Propose(ctx, logstream.Proposal{
		Kind: logrecord.KindClaim,
		Body: logrecord.Claim{
			PreviousEpoch: fence.Epoch,
			Node:          options.NodeID,
			Address:       options.PeerAddress,
		},
	})
	if err != nil {
		retry.Sleep(ctx, claimInterval)
		return
	}
	options.Logger.Info().Str("trainer", f.trainer).Str("previous_owner", fence.Owner).
		Int64("previous_epoch", fence.Epoch).Int64("offset", outcome.Offset).
		Bool("won", outcome.Verdict == logrecord.Accepted).Msg("claimed ledger")
}

// serve runs a tenure until it ends.
func (f *follower) serve(ctx context.Context, epoch int64) {
	t := newTenure(ctx, f, epoch)
	f.tenure.Store(t)
	f.coordinator.announce()
	t.run()
	f.tenure.Store(nil)
	f.coordinator.announce()
	close(t.ended)
}

func (f *follower) wait(ctx context.Context, applied int64) {
	timer := time.NewTimer(claimInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.stream.Changed(applied):
	case <-timer.C:
	}
}
