package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// manageInterval is the polling interval for the cluster view, which does not
// signal changes; table changes are signaled.
const manageInterval = 500 * time.Millisecond

// Run follows, claims and serves the ledgers that this node should own until ctx
// is done. It returns ctx's error.
func (c *Coordinator) Run(ctx context.Context) error {
	var followers sync.WaitGroup
	defer followers.Wait()
	for {
		table := c.options.Tables.Table()
		c.followRows(ctx, table, &followers)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.options.Tables.Changed(table.Revision):
		case <-time.After(manageInterval):
		}
	}
}

// followRows starts a follower for each trainer whose preferred owner is this node.
func (c *Coordinator) followRows(ctx context.Context, table *policy.Table, followers *sync.WaitGroup) {
	if c.draining.Load() || c.options.Tables.CheckCurrent() != nil {
		return
	}
	for _, row := range table.Rows {
		if row.Kind != policy.KindTrainer || !c.isPreferredOwner(row) || c.followerOf(row.Service) != nil {
			continue
		}
		f := c.newFollower(row.Service)
		c.mutex.Lock()
		c.followers[row.Service] = f
		c.mutex.Unlock()
		followers.Go(func() {
			f.run(ctx)
			c.mutex.Lock()
			delete(c.followers, f.trainer)
			c.mutex.Unlock()
		})
	}
}

func (c *Coordinator) isPreferredOwner(row policy.Row) bool {
	member, found := preferredOwner(c.options.View, row)
	return found && member.ID == c.options.NodeID
}

// tenure returns this node's tenure of a trainer's ledger, or nil.
func (c *Coordinator) tenure(trainer string) *tenure {
	if f := c.followerOf(trainer); f != nil {
		return f.tenure.Load()
	}
	return nil
}

// tenures returns all of this node's tenures, ordered by trainer.
func (c *Coordinator) tenures() []*tenure {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var owned []*tenure
	for _, f := range c.followers {
		if tenure := f.tenure.Load(); tenure != nil {
			owned = append(owned, tenure)
		}
	}
	slices.SortFunc(owned, func(a, b *tenure) int {
		if a.trainer < b.trainer {
			return -1
		}
		return 1
	})
	return owned
}

// announce publishes the list of owned ledgers to the cluster. Calls are
// serialized so that the last list published is the newest.
func (c *Coordinator) announce() {
	c.announceMutex.Lock()
	defer c.announceMutex.Unlock()
	owned := []cluster.Ownership{}
	for _, tenure := range c.tenures() {
		owned = append(owned, cluster.Ownership{Stream: ledger.StreamName(tenure.trainer), Epoch: tenure.epoch})
	}
	c.metrics.owned.Set(float64(len(owned)))
	c.options.Announcer.AnnounceOwnedStreams(owned)
}

// contextUntilDrain returns a context that is canceled with ctx, or when the grace
// period has passed since draining began.
func (c *Coordinator) contextUntilDrain(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-c.drainStarted:
			retry.Sleep(ctx, grace)
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Drain rejects new calls, waits for pending ones and releases the ledgers, so
// that other nodes can claim them immediately. Each release is limited to
// releaseTimeout if the log is unavailable; other nodes then claim the ledgers
// when they see that this node has left. It returns ctx's error if ctx is done
// first. Run must keep running meanwhile.
func (c *Coordinator) Drain(ctx context.Context) error {
	if !c.draining.Swap(true) {
		close(c.drainStarted)
	}
	for _, t := range c.tenures() {
		t.reschedule()
		select {
		case <-t.ended:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "release the ledger of trainer %s", t.trainer)
		}
	}
	return nil
}
