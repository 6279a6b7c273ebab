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
	// claimInterval is the pause between two looks at the owner's state.
	claimInterval = 250 * time.Millisecond
)

// follower tails one ledger and claims it when its owner is gone.
type follower struct {
	coordinator *Coordinator
	trainer     string
	stream      *logstream.TailedStream
	// ledger is read inside stream.View only.
	ledger *ledger.Ledger
	// lengths outlives tenures; each tenure guards it by its own lock.
	lengths *lengths.Estimator
	// contest delays claims after the ledger was lost to another node.
	contest weights.Contest
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

// run claims and serves the ledger until ctx ends or this node should no
// longer follow it. It never leaves while it owns the ledger and ctx lives.
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
				return // a release that was not read back is not tried again
			}
			f.contest.Lost(time.Now())
		case !f.wanted():
			return
		case f.ownerGone(fence) && (!fence.Owned() || f.contest.MayClaim(time.Now())):
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

// wanted reports whether this node should own the ledger when its owner is gone.
func (f *follower) wanted() bool {
	c := f.coordinator
	if c.draining.Load() || c.options.Tables.Current() != nil {
		return false
	}
	row, err := trainerRow(c.options.Tables.Table(), f.trainer)
	return err == nil && c.prefersSelf(row)
}

// ownerGone reports whether the ledger should be claimed. This node has one
// follower for a trainer at a time, so what an earlier one owned is free.
func (f *follower) ownerGone(fence logrecord.Fence) bool {
	options := &f.coordinator.options
	return fence.Owner == options.NodeID || ownerGone(options.View, fence)
}

// claim proposes a claim and waits until it is read back; run then looks at
// the fence again, so a lost or late answer needs no care here.
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

// serve runs one tenure to its end.
func (f *follower) serve(ctx context.Context, epoch int64) {
	owned := newTenure(ctx, f, epoch)
	f.tenure.Store(owned)
	f.coordinator.announce()
	owned.run()
	f.tenure.Store(nil)
	f.coordinator.announce()
	close(owned.ended)
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
