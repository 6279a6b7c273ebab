package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// crashGap is the time between two sends of requests under which engines end, crashEvery
	// the time after which another such request joins them.
	crashGap   = 350 * time.Millisecond
	crashEvery = 15 * time.Second
	// crashingPart is one in how many jobs has an item under which engines end.
	crashingPart = 3
)

// crashEngines sends requests under which engines end until ctx ends: each comes again and
// again, with another ID, at any node.
func (v *driver) crashEngines(ctx context.Context) {
	began := time.Now()
	for retry.Sleep(ctx, crashGap) {
		known := 1 + int(time.Since(began)/crashEvery)
		number := rand.IntN(known)
		kind, prefix := standin.RouteSafe, standin.PrefixLookup
		if number%2 == 1 {
			kind, prefix = standin.RouteUnsafe, prefixPermit
		}
		name := fmt.Sprintf("%s%d", crashPrefix, number)
		v.send(ctx, LiveCall{ID: v.newID("again-"), Path: prefix + name, Body: "body of " + name, Kind: kind})
	}
}
