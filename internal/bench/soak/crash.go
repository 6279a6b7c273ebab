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
	// crashRequestInterval is the interval between two requests that crash engines. The set of distinct
	// requests starts with one and grows by one each crashSetGrowthInterval.
	crashRequestInterval   = 350 * time.Millisecond
	crashSetGrowthInterval = 15 * time.Second
	// One in interruptedJobOneIn jobs has an interrupted item.
	interruptedJobOneIn = 3
)

// crashEngines sends requests that crash engines until ctx ends. Each is repeated, with a new ID, at any
// node.
func (d *driver) crashEngines(ctx context.Context) {
	began := time.Now()
	for retry.Sleep(ctx, crashRequestInterval) {
		distinct := 1 + int(time.Since(began)/crashSetGrowthInterval)
		number := rand.IntN(distinct)
		kind, prefix := standin.RouteSafe, standin.PrefixLookup
		if number%2 == 1 {
			kind, prefix = standin.RouteUnsafe, prefixPermit
		}
		name := fmt.Sprintf("%s%d", crashPrefix, number)
		d.send(ctx, LiveCall{ID: d.newID("again-"), Path: prefix + name, Body: "body of " + name, Kind: kind})
	}
}
