package tables

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const (
	// MaxLogContactAge bounds the age of the most recent log contact in the cluster.
	// Beyond it, a node accepts new work only while it reaches a majority of the known
	// nodes.
	MaxLogContactAge = 8 * time.Second
	// peerFallbackDelay is how long a starting node tries the log alone before it
	// also loads the table from peers.
	peerFallbackDelay = 3 * time.Second
	// catchUpTimeout bounds one attempt to read to the log's end.
	catchUpTimeout = 10 * time.Second
	// catchUpRetryInterval is the delay between the attempts of a starting node to
	// catch up.
	catchUpRetryInterval = 200 * time.Millisecond
)

// CheckCurrent returns nil when this node may accept new work. Otherwise it returns
// an *errkind.Error: NotReady until it has loaded the latest revision once, NotCurrent
// while it reaches no majority of the known nodes and knows of no log contact, of its
// own or of another reachable node, that is more recent than MaxLogContactAge.
func (t *Tables) CheckCurrent() error {
	if !t.caughtUp.Load() {
		return errkind.New(errkind.NotReady, "this node has not yet loaded the latest table revision")
	}
	// The local contact is checked first: it is cheap and usually recent.
	if isFresh(t.LogContact()) || isFresh(t.options.View.LogContact()) {
		return nil
	}
	reachable, known := t.options.View.Reachability()
	if 2*reachable > known {
		return nil
	}
	return errkind.New(errkind.NotCurrent,
		"no contact with the log for %s, and %d of %d known nodes reachable", MaxLogContactAge, reachable, known)
}

// isFresh reports whether the log contact is more recent than MaxLogContactAge.
func isFresh(contact time.Time) bool {
	return !contact.IsZero() && time.Since(contact) < MaxLogContactAge
}

// catchUpFromLog makes the node ready once it has read to the log's end.
func (t *Tables) catchUpFromLog(ctx context.Context) error {
	for !t.caughtUp.Load() {
		err := t.catchUp(ctx)
		if err == nil {
			t.markCaughtUp("log")
			return nil
		}
		t.options.Logger.Warn().Err(err).Msg("reading the config stream to its end failed")
		if err := sleep(ctx, catchUpRetryInterval); err != nil {
			return err
		}
	}
	return nil
}

// catchUpFromPeers makes the node ready with the highest revision of its zone's
// members if the log was not read within peerFallbackDelay.
func (t *Tables) catchUpFromPeers(ctx context.Context) error {
	if err := sleep(ctx, peerFallbackDelay); err != nil {
		return err
	}
	for !t.caughtUp.Load() {
		if t.fetchFromZone(ctx) {
			t.markCaughtUp("peers")
			return nil
		}
		if err := sleep(ctx, catchUpRetryInterval); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	if !retry.Sleep(ctx, duration) {
		return ctx.Err()
	}
	return nil
}

// catchUp reads to the log's current end and adopts the resulting table.
func (t *Tables) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := t.options.Stream.CatchUp(ctx); err != nil {
		return err
	}
	t.adoptFromStream()
	return nil
}

// fetchFromZone fetches from all alive members of this node's zone. It reports
// true when each fetch succeeded and at least one member is ready; members that
// are still starting may all lack the latest revision.
func (t *Tables) fetchFromZone(ctx context.Context) bool {
	zone := t.options.View.Self().Zone
	anyReady := false
	for _, member := range t.otherMembers() {
		if member.Zone != zone || member.State != cluster.StateAlive {
			continue
		}
		ready, err := t.fetch(ctx, member.Address)
		if err != nil {
			t.options.Logger.Warn().Err(err).Str("member", member.ID).Msg("table fetch from zone member failed")
			return false
		}
		anyReady = anyReady || ready
	}
	return anyReady
}

func (t *Tables) markCaughtUp(source string) {
	if t.caughtUp.CompareAndSwap(false, true) {
		t.options.Logger.Info().Int64("revision", t.Table().Revision).
			Str("source", source).Msg("table caught up")
	}
}
