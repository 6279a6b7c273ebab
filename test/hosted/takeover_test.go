package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// takeoverOrderGap is the minimum time between orders to one engine from two nodes.
	takeoverOrderGap = 2 * time.Second
	// publishPeriod is the time between published weight versions.
	publishPeriod = 100 * time.Millisecond
)

// Versions are published throughout the takeover, so that the old leader orders until it stops.
func TestOrdersFromSuccessiveLeadersKeepMinimumGap(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.orderQuiet, d.enginesFence = takeoverOrderGap, false
	var engines []*standin.Engine
	for i := range 4 {
		engines = append(engines, d.addModelEngine(fmt.Sprint("e", i), 1, 4, 0))
	}
	d.configure(batchRoute("/batch/"))
	leader := d.start("n0")
	last := d.publishVersionsWhile(func() {
		testwait.Until(t, "engines to follow the first leader", func() bool { return allAtLeast(engines, 5) })
		d.start("n1")
		leader.cancel()
		<-leader.done
	})
	testwait.Until(t, "all engines to have the last version", func() bool { return allAtLeast(engines, last) })
	changes := 0
	for _, engine := range engines {
		var before standin.ReceivedOrder
		for _, order := range engine.Orders() {
			if before.Holder != "" && nodeOfHolder(order.Holder) != nodeOfHolder(before.Holder) {
				changes++
				gap := order.At.Sub(before.At)
				assert.Assert(t, gap >= takeoverOrderGap, "%s: %s %s after %s", engine.ID(), order.Holder, gap, before.Holder)
			}
			before = order
		}
	}
	assert.Assert(t, changes > 0, "no engine got orders of two nodes")
}

// publishVersionsWhile publishes increasing versions while work runs and returns the last one.
func (d *deployment) publishVersionsWhile(work func()) int64 {
	stop, stopped := make(chan struct{}), make(chan struct{})
	version := int64(1)
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(publishPeriod)
		defer ticker.Stop()
		for {
			version++
			d.publishVersion(version)
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	work()
	close(stop)
	<-stopped
	return version
}

// nodeOfHolder returns the node part of a lease holder's name.
func nodeOfHolder(holder string) string {
	node, _, _ := strings.Cut(holder, "-")
	return node
}

func allAtLeast(engines []*standin.Engine, version int64) bool {
	for _, engine := range engines {
		if engine.Version(model) < version {
			return false
		}
	}
	return true
}
