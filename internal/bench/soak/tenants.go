package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// tenantLive is the tenant of live requests. Each configuration adds a key for it and removes the one
	// added liveKeys configurations before.
	tenantLive = "live"
	liveKeys   = 2
	// revokedGap is the interval between two requests with a revoked key to one node.
	revokedGap = 400 * time.Millisecond
	// usageWindow and usageDue are the nodes' settings for usage reports.
	usageWindow = 2 * time.Second
	usageDue    = 6 * time.Second
)

// liveKey is the key that a configuration adds for tenantLive.
func liveKey(version int64) string { return fmt.Sprintf("key-live-%d", version) }

// settledKey returns a key of tenantLive that the previous configuration already had, so that a node that has
// not applied the new configuration accepts it.
func settledKey(version int64) string { return liveKey(max(1, version-liveKeys+1)) }

func tenantOf(trainer int) string { return fmt.Sprintf("trainer-%d", trainer) }

func trainerKey(trainer int) string { return fmt.Sprintf("key-trainer-%d", trainer) }

func tenantsOf(version int64, trainers int) []standin.Tenant {
	live := standin.Tenant{Name: tenantLive}
	for kept := max(1, version-liveKeys+1); kept <= version; kept++ {
		live.Keys = append(live.Keys, liveKey(kept))
	}
	tenants := []standin.Tenant{live}
	for trainer := range trainers {
		tenants = append(tenants, standin.Tenant{Name: tenantOf(trainer), Keys: []string{trainerKey(trainer)}})
	}
	return tenants
}

// sendRevokedKeys sends requests with a revoked key to one node until ctx ends.
func (d *driver) sendRevokedKeys(ctx context.Context, target *node) {
	for retry.Sleep(ctx, revokedGap) {
		version := d.config.Load()
		if version <= liveKeys {
			continue
		}
		id, sent := d.newID("revoked-"), time.Now()
		path := standin.PrefixLookup + id
		client := d.client.WithKey(liveKey(version - liveKeys))
		answer, err := client.SendLive(ctx, target.callerAddress, path, id, "", callDeadline)
		d.history.addCall(LiveCall{
			ID: id, Path: path, Kind: standin.RouteSafe, SentAt: sent, Deadline: callDeadline, EndedAt: time.Now(), Answer: answer, Intact: err == nil,
		})
		if err != nil {
			continue
		}
		d.history.update(func() {
			d.history.Revoked = append(d.history.Revoked, Probe{
				Node: target.number, Version: version, SentAt: sent, EndedAt: time.Now(), Status: answer.Status,
			})
		})
	}
}

// checkRevokedKeys reports nodes that accept a revoked key after the bound.
func checkRevokedKeys(h *History, bounds Bounds) []string {
	var found []string
	for _, late := range h.overdueProbes(h.Revoked, bounds) {
		if late.Status == http.StatusOK {
			found = append(found, fmt.Sprintf("node %d accepts a key %s after configuration %d revoked it",
				late.Node, late.elapsed, late.Version))
		}
	}
	return found
}

// checkTenants reports runs for another tenant than the one whose key was sent, and keys passed on to
// engines.
func checkTenants(h *History, _ Bounds) []string {
	var found []string
	expected := expectedByID(h)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		want := tenantLive
		if call := expected[run.ID].call; call != nil && call.Tenant != "" {
			want = call.Tenant
		}
		if job := expected[run.ID].job; job != nil {
			want = job.Tenant
		}
		if run.Tenant != want || run.Credentials != "" {
			found = append(found, fmt.Sprintf("engine %s ran %s for tenant %q with credentials %q, expected tenant %q and no credentials",
				engine.ID, run.ID, run.Tenant, run.Credentials, want))
		}
	})
	return found
}

// checkUsageReports reports windows with differing reports, gaps between reported windows, fencing tokens
// with two holders, and more reported requests than were sent.
func checkUsageReports(h *History, _ Bounds) []string {
	var found []string
	windows := make(map[int64]standin.UsageCall)
	holders := make(map[int64]string)
	first, last, reported := int64(-1), int64(-1), int64(0)
	for _, call := range h.Usage {
		if holder, known := holders[call.Fence]; known && holder != call.Holder {
			found = append(found, fmt.Sprintf("usage reports by %s and %s under token %d", holder, call.Holder, call.Fence))
		}
		holders[call.Fence] = call.Holder
		if call.Status != http.StatusOK {
			continue
		}
		if known, repeated := windows[call.Window]; repeated {
			if fmt.Sprint(known.Counts) != fmt.Sprint(call.Counts) {
				found = append(found, fmt.Sprintf("window %d was reported as %v and as %v", call.Window, known.Counts, call.Counts))
			}
			continue
		}
		windows[call.Window] = call
		reported += call.Counts[tenantLive]
		if first < 0 || call.Window < first {
			first = call.Window
		}
		last = max(last, call.Window)
	}
	for window := first; window < last; window++ {
		if _, known := windows[window]; !known {
			found = append(found, fmt.Sprintf("window %d of %d..%d was not reported", window, first, last))
		}
	}
	if sent := liveRequests(h); reported > sent {
		found = append(found, fmt.Sprintf("%d live requests were reported, %d were sent", reported, sent))
	}
	return found
}

// liveRequests returns the maximum number of live requests of tenantLive that engines may have run: each counts once,
// even if its connection broke.
func liveRequests(h *History) int64 {
	count := int64(0)
	for _, call := range h.Calls {
		if call.Tenant == "" {
			count++
		}
	}
	return count
}
