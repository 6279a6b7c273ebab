package soak

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// controlInterval is the interval between two control requests.
	controlInterval = 10 * time.Millisecond
	// minStall is the shortest time of a control request that counts as a stall. A request that several engines refuse
	// takes the way of a control request up to five times, so that each such delay is a large part of a deadline.
	minStall = 20 * time.Millisecond
)

// serveControl serves control requests, which are refused at once, behind a proxy like those of the engines. It
// returns the proxy's address.
func (d *deployment) serveControl() (string, error) {
	upstream, err := d.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	if err != nil {
		return "", err
	}
	address, err := process.FreeAddress()
	if err != nil {
		return "", err
	}
	proxy := newSenderProxy(address, upstream, func(net.Conn) *nodePath { return d.pathResolver.unknown })
	d.closers = append(d.closers, proxy.cut)
	return address, proxy.listen()
}

// watchStalls sends control requests until ctx ends, and records the periods in which they were slow. Callers, proxies
// and stand-in engines run in the soak's own process; what callers observe while it does not run in time is not the time
// of the nodes.
func (d *deployment) watchStalls(ctx context.Context, address string) {
	client := standin.NewClient(callTimeout)
	for retry.Sleep(ctx, controlInterval) {
		sent := time.Now()
		_, _ = client.SendLive(ctx, address, standin.PrefixLookup, "control", "", callDeadline)
		if ended := time.Now(); ended.Sub(sent) >= minStall {
			d.history.update(func() { d.history.Stalls = append(d.history.Stalls, TimeSpan{From: sent, To: ended}) })
		}
	}
}

// stalled reports whether the soak's process stalled between two times.
func (h *History) stalled(from, to time.Time) bool {
	for _, stall := range h.Stalls {
		if stall.From.Before(to) && stall.To.After(from) {
			return true
		}
	}
	return false
}
