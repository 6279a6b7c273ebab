package tables

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const (
	// ContactLimit is the age of the freshest log contact in reach from which
	// on a node without a majority of its peers refuses new work.
	ContactLimit = 8 * time.Second
	// logPatience is how long a starting node waits for the log before it
	// takes the peers' word.
	logPatience = 3 * time.Second
	// catchUpTimeout bounds one try to reach the log's end.
	catchUpTimeout = 10 * time.Second
	// startRetry is the pause between tries of a starting node.
	startRetry = 200 * time.Millisecond
)

// Current returns nil when this node may take new work. Otherwise it returns
// an *errkind.Error: NotReady until it once knew the highest revision,
// NotCurrent while it hears neither the log nor a majority of the known nodes.
func (t *Tables) Current() error {
	if !t.started.Load() {
		return errkind.New(errkind.NotReady, "this node has not yet caught up with the table")
	}
	// This node's own contact comes first: it is cheap and nearly always fresh.
	if isFresh(t.LogContact()) || isFresh(t.options.View.LogContact()) {
		return nil
	}
	reachable, known := t.options.View.Reachability()
	if 2*reachable > known {
		return nil
	}
	return errkind.New(errkind.NotCurrent,
		"no contact with the log for %s, and %d of %d known nodes in reach", ContactLimit, reachable, known)
}

func isFresh(contact time.Time) bool {
	return !contact.IsZero() && time.Since(contact) < ContactLimit
}

// startFromLog makes the node ready once it has read to the log's end.
func (t *Tables) startFromLog(ctx context.Context) error {
	for !t.started.Load() {
		err := t.catchUp(ctx)
		if err == nil {
			t.markStarted("log")
			return nil
		}
		t.options.Logger.Warn().Err(err).Msg("config stream not caught up")
		if err := pause(ctx, startRetry); err != nil {
			return err
		}
	}
	return nil
}

// startFromPeers makes the node ready, once the log has kept it waiting, by the
// highest revision that the reachable members of its zone hold.
func (t *Tables) startFromPeers(ctx context.Context) error {
	if err := pause(ctx, logPatience); err != nil {
		return err
	}
	for !t.started.Load() {
		if t.askZone(ctx) {
			t.markStarted("peers")
			return nil
		}
		if err := pause(ctx, startRetry); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, duration time.Duration) error {
	if !retry.Sleep(ctx, duration) {
		return ctx.Err()
	}
	return nil
}

// catchUp adopts everything that the log holds now.
func (t *Tables) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := t.options.Stream.CatchUp(ctx); err != nil {
		return err
	}
	t.adoptFromStream()
	return nil
}

// askZone asks all reachable members of this node's zone. It reports
// true when each of them answered and one at least is itself ready: nodes that
// all start at once know nothing, and neither does a node alone.
func (t *Tables) askZone(ctx context.Context) bool {
	zone := t.options.View.Self().Zone
	anyReady := false
	for _, member := range t.others() {
		if member.Zone != zone || member.State != cluster.StateAlive {
			continue
		}
		ready, err := t.fetch(ctx, member.Address)
		if err != nil {
			t.options.Logger.Warn().Err(err).Str("member", member.ID).Msg("member did not give its table")
			return false
		}
		anyReady = anyReady || ready
	}
	return anyReady
}

func (t *Tables) markStarted(source string) {
	if t.started.CompareAndSwap(false, true) {
		t.options.Logger.Info().Int64("revision", t.Table().Revision).
			Str("source", source).Msg("table caught up")
	}
}
