package crashes

import (
	"context"
	"time"

	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// trialTimeout bounds how long a request waits for its trial to be granted, which takes a write and a read of the log.
const trialTimeout = time.Second

// claimTrial claims the trial of a quarantined request and reports whether it was granted: this node may then send the
// request once. Only the first claim in the log is granted, so that at most one node sends the request.
func (g *Guard) claimTrial(ctx context.Context, fingerprint quarantine.Fingerprint) bool {
	g.mu.Lock()
	if g.claiming[fingerprint] {
		g.mu.Unlock()
		return false
	}
	g.claiming[fingerprint] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.claiming, fingerprint)
	}()
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	claim := quarantine.Record{Fingerprint: fingerprint, Trial: xid.New().String(), At: time.Now()}
	encoded, err := encode(claim)
	if err == nil {
		err = g.writer.log.PutKeyed(ctx, g.writer.topic, []eventlog.KeyedRecord{encoded})
	}
	granted := err == nil && g.awaitTrial(ctx, claim)
	g.logger.Info().Err(err).Stringer("fingerprint", fingerprint).Str("trial", claim.Trial).Bool("granted", granted).
		Msg("trial claim for a quarantined request ended")
	return granted
}

// awaitTrial waits until the claim is read back and reports whether it was granted.
func (g *Guard) awaitTrial(ctx context.Context, claim quarantine.Record) bool {
	for {
		g.mu.Lock()
		logged, changed := g.ledger.Logged(claim), g.changed
		granted := g.ledger.Status(claim.Fingerprint, time.Now()).Granted == claim.Trial
		g.mu.Unlock()
		if logged {
			return granted
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
