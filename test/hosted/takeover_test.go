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
	// takeoverQuiet is the least time between orders to one engine from two nodes.
	takeoverQuiet = 2 * time.Second
	// namingPeriod is the time between two versions that a trainer names.
	namingPeriod = 100 * time.Millisecond
)

// TestOrdersToOneEngineFromTwoNodesLieApart hands the lead over while versions are
// named all the time, so that the engines are ordered until the last moment.
func TestOrdersToOneEngineFromTwoNodesLieApart(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.orderQuiet, d.enginesFence = takeoverQuiet, false
	var engines []*standin.Engine
	for i := range 4 {
		engines = append(engines, d.addModelEngine(fmt.Sprint("e", i), 1, 4, 0))
	}
	d.configure(batchRoute("/batch/"))
	leader := d.start("n0")
	last := d.nameVersionsWhile(func() {
		testwait.Until(t, "engines follow", func() bool { return allFrom(engines, 5) })
		d.start("n1")
		leader.cancel()
		<-leader.done
	})
	testwait.Until(t, "all engines have the last version", func() bool { return allFrom(engines, last) })
	changes := 0
	for _, engine := range engines {
		var before standin.OrderSeen
		for _, order := range engine.Orders() {
			if before.Holder != "" && nodeOf(order.Holder) != nodeOf(before.Holder) {
				changes++
				gap := order.At.Sub(before.At)
				assert.Assert(t, gap >= takeoverQuiet, "%s: %s %s after %s", engine.ID(), order.Holder, gap, before.Holder)
			}
			before = order
		}
	}
	assert.Assert(t, changes > 0, "no engine was ordered by two nodes")
}

// nameVersionsWhile names one version after the other while work runs and returns
// the last one.
func (d *deployment) nameVersionsWhile(work func()) int64 {
	stop, stopped := make(chan struct{}), make(chan struct{})
	version := int64(1)
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(namingPeriod)
		defer ticker.Stop()
		for {
			version++
			d.nameVersion(version)
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

// nodeOf is the node's part of a holder's name.
func nodeOf(holder string) string {
	node, _, _ := strings.Cut(holder, "-")
	return node
}

func allFrom(engines []*standin.Engine, version int64) bool {
	for _, engine := range engines {
		if engine.Version(model) < version {
			return false
		}
	}
	return true
}
