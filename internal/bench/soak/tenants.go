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
	// tenantLive sends the live requests. Each configuration gives it a key and takes
	// the one away that it has had for liveKeys configurations.
	tenantLive = "live"
	liveKeys   = 2
	// revokedGap is the time between two tries of a key that was taken away at a node.
	revokedGap = 400 * time.Millisecond
	// usageWindow and usageDue are the nodes' settings for reports of use.
	usageWindow = 2 * time.Second
	usageDue    = 6 * time.Second
)

// liveKey is the key that a configuration gives the tenant of the live requests.
func liveKey(version int64) string { return fmt.Sprintf("key-live-%d", version) }

// settledKey is a key of that tenant that the configuration before had as well.
func settledKey(version int64) string { return liveKey(max(1, version-liveKeys+1)) }

func tenantOf(trainer int) string { return fmt.Sprintf("trainer-%d", trainer) }

func trainerKey(trainer int) string { return fmt.Sprintf("key-trainer-%d", trainer) }

// tenantsOf returns the tenants of a configuration.
func tenantsOf(version int64) []standin.Tenant {
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

// tryRevoked asks one node with a key that was taken away until ctx ends.
func (v *driver) tryRevoked(ctx context.Context, target *node) {
	for retry.Sleep(ctx, revokedGap) {
		version := v.config.Load()
		if version <= liveKeys {
			continue
		}
		id, sent := v.newID("revoked-"), time.Now()
		path := standin.PrefixLookup + id
		client := v.client.WithKey(liveKey(version - liveKeys))
		answer, err := client.Live(ctx, target.callers, path, id, "", callDeadline)
		v.history.addCall(LiveCall{ID: id, Path: path, Kind: standin.RouteSafe, SentAt: sent, Answer: answer, Whole: err == nil})
		if err != nil {
			continue
		}
		v.history.update(func() {
			v.history.Revoked = append(v.history.Revoked, Probe{
				Node: target.number, Version: version, SentAt: sent, EndedAt: time.Now(), Status: answer.Status,
			})
		})
	}
}

// checkRevoked: a key that a configuration took away opens nothing after a while.
func checkRevoked(h *History, bounds Bounds) []string {
	var found []string
	for _, late := range h.bound(h.Revoked, bounds) {
		if late.Status == http.StatusOK {
			found = append(found, fmt.Sprintf("node %d serves a key %s after configuration %d took it away",
				late.Node, late.after, late.Version))
		}
	}
	return found
}

// checkTenants: engines are told the tenant whose key was shown, and never the key.
func checkTenants(h *History, _ Bounds) []string {
	var found []string
	known := askedByID(h)
	eachRun(h, func(engine *EngineSeen, run standin.Run) {
		want := tenantLive
		if call := known[run.ID].call; call != nil && call.Tenant != "" {
			want = call.Tenant
		}
		if job := known[run.ID].job; job != nil {
			want = job.Tenant
		}
		if run.Tenant != want || run.Credentials != "" {
			found = append(found, fmt.Sprintf("engine %s ran %s for tenant %q with credentials %q; it is of %q",
				engine.ID, run.ID, run.Tenant, run.Credentials, want))
		}
	})
	return found
}

// checkUsage: a window has one report, no window between two reported ones is left out,
// a fencing token has one holder, and no more is reported than began.
func checkUsage(h *History, _ Bounds) []string {
	var found []string
	windows := make(map[int64]standin.UsageCall)
	holders := make(map[int64]string)
	first, last, reported := int64(-1), int64(-1), int64(0)
	for _, call := range h.Usage {
		if holder, known := holders[call.Fence]; known && holder != call.Holder {
			found = append(found, fmt.Sprintf("reports of use by %s and %s under token %d", holder, call.Holder, call.Fence))
		}
		holders[call.Fence] = call.Holder
		if call.Status != http.StatusOK {
			continue
		}
		if known, again := windows[call.Window]; again {
			if fmt.Sprint(known.Counts) != fmt.Sprint(call.Counts) {
				found = append(found, fmt.Sprintf("window %d reported as %v and as %v", call.Window, known.Counts, call.Counts))
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
			found = append(found, fmt.Sprintf("window %d of %d..%d is not reported", window, first, last))
		}
	}
	if began := liveRequests(h); reported > began {
		found = append(found, fmt.Sprintf("%d live requests are reported, %d were sent to engines", reported, began))
	}
	return found
}

// liveRequests counts the live requests that engines may have begun: each once, and
// those whose connection to the engine broke as well.
func liveRequests(h *History) int64 { return int64(len(h.Calls)) }
