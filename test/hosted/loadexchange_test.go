package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	exchangeInterval = 200 * time.Millisecond
	viewMetric       = "corkpulley_hosted_load_view_engines"
	answeredMetric   = `corkpulley_hosted_load_exchanges_total{kind="node",outcome="answered"}`
	unansweredMetric = `corkpulley_hosted_load_exchanges_total{kind="node",outcome="unanswered"}`
)

// deployStreams returns a deployment with an engine whose live requests take 400 ms.
func deployStreams(t *testing.T) *deployment {
	t.Helper()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, EventTime: 100 * time.Millisecond,
	})
	streaming := batchRoute("/s/")
	streaming["routeKind"] = "streaming"
	d.configure(streaming)
	return d
}

// keepBusy sends live requests to each of the nodes, one after the other, until the returned function is called. The
// function returns the number of requests that didn't succeed.
func keepBusy(nodes ...*testNode) (stop func() int) {
	done := make(chan struct{})
	var senders sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for number, node := range nodes {
		senders.Go(func() {
			for request := 0; ; request++ {
				select {
				case <-done:
					return
				default:
				}
				got := node.call(http.MethodPost, "/s/x", fmt.Sprintf("busy-%d-%d", number, request), "")
				if got.err != nil || got.status != http.StatusOK {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			}
		})
	}
	return func() int {
		close(done)
		senders.Wait()
		return failed
	}
}

// sum returns the sum of a metric over nodes.
func sum(metric string, nodes ...*testNode) float64 {
	total := 0.0
	for _, node := range nodes {
		total += node.metricValue(metric)
	}
	return total
}

// Guards against an exchange that depends on the log: the nodes know each other from before the outage.
func TestLoadExchangeContinuesWithoutTheLog(t *testing.T) {
	t.Parallel()
	d := deployStreams(t)
	d.loadExchange = exchangeInterval
	one, two := d.start("n1"), d.start("n2")
	one.awaitKnownNodes(t, 2)
	two.awaitKnownNodes(t, 2)
	stop := keepBusy(one, two)
	bothKnowEachOther := func() bool { return one.metricValue(viewMetric) == 1 && two.metricValue(viewMetric) == 1 }
	testwait.Until(t, "each node to know the load of the other", bothKnowEachOther)
	d.store.Log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	defer d.clearFaults()
	// Views from before the outage expire meanwhile.
	time.Sleep(time.Second)
	before := sum(answeredMetric, one, two)
	testwait.Until(t, "further exchanges", func() bool { return sum(answeredMetric, one, two) >= before+5 })
	testwait.Until(t, "each node to know the load of the other without the log", bothKnowEachOther)
	assert.Equal(t, stop(), 0, "failed live requests")
}

// Guards against live requests that fail, or an exchange that is expected, while nodes with and without it run side by
// side: the node without it answers as an earlier build does.
func TestNodesWithAndWithoutLoadExchangeRunSideBySide(t *testing.T) {
	t.Parallel()
	d := deployStreams(t)
	// The node without it is the one that the others ask first.
	nodes := []loadexchange.Node{{ID: "n1", Zone: "z1"}, {ID: "n2", Zone: "z1"}, {ID: "n3", Zone: "z1"}}
	first, _ := loadexchange.ExchangeNode(nodes, "z1", func(loadexchange.Node) bool { return false })
	nodes = slices.DeleteFunc(nodes, func(node loadexchange.Node) bool { return node == first })
	plain := d.start(first.ID)
	d.loadExchange = exchangeInterval
	one, two := d.start(nodes[0].ID), d.start(nodes[1].ID)
	for _, node := range []*testNode{plain, one, two} {
		node.awaitKnownNodes(t, 3)
	}
	stop := keepBusy(plain, one, two)
	testwait.Until(t, "both nodes to know the load of the other", func() bool {
		return one.metricValue(viewMetric) == 1 && two.metricValue(viewMetric) == 1
	})
	assert.Equal(t, stop(), 0, "failed live requests")
	assert.Equal(t, sum(answeredMetric, plain)+sum(unansweredMetric, plain), 0.0)
	for _, node := range []*testNode{one, two} {
		assert.Assert(t, strings.Contains(node.logs.String(), "unexpected HTTP status 404"))
	}
}
