package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// coldTime outlasts every test.
	coldTime = time.Minute
	// coldRate is the number of requests per second that a cold engine may receive on average, coldBurstLimit the
	// maximum in any one second.
	coldRate       = 6.0
	coldBurstLimit = coldRate*1.5 + 5
)

// slowStartSettings are the slow-start settings of all services.
var slowStartSettings = map[string]any{"coldStartS": coldTime.Seconds(), "coldPerS": coldRate}

// addColdEngines starts cold engines of the model service.
func (d *deployment) addColdEngines(count int) []*standin.Engine {
	var engines []*standin.Engine
	for i := range count {
		engines = append(engines, d.addEngine(standin.EngineOptions{
			ID: fmt.Sprint("cold", i), Service: "llm", Versions: map[string]int64{model: 1}, ColdFor: coldTime,
			Events: func(string) int { return 1 }, LoadTime: 50 * time.Millisecond, CheckFences: true,
		}))
	}
	return engines
}

// peakPerSecond returns the largest number of arrivals in any one second.
func peakPerSecond(arrivals []time.Time) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func assertWithinColdRate(t *testing.T, engines ...*standin.Engine) {
	t.Helper()
	for _, engine := range engines {
		most := peakPerSecond(engine.ArrivalTimes())
		assert.Assert(t, float64(most) <= coldBurstLimit, "%s got %d requests in a second", engine.ID(), most)
	}
}

func arrivalCount(engines []*standin.Engine) int {
	count := 0
	for _, engine := range engines {
		count += len(engine.ArrivalTimes())
	}
	return count
}

// The first leader stops as planned, so the next one starts without waiting for its lease to expire.
func TestColdEngineItemRateHoldsAcrossTakeover(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = slowStartSettings
	engines := d.addColdEngines(3)
	d.configure(batchRoute("/batch/"))
	leader := d.start("n0")
	other := d.start("n1")
	ids := itemIDs(100)
	assert.Equal(t, leader.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "a third of the items to run", func() bool { return arrivalCount(engines) > 33 })
	leader.cancel()
	<-leader.done
	assertAllCompleted(t, d.awaitResults(other, "job1", len(ids)), ids, 1)
	assertWithinColdRate(t, engines...)
}

// Engines that still load refuse items; retries must stay within the rate.
func TestColdEngineRateCountsRefusedItems(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = slowStartSettings
	engines := d.addColdEngines(2)
	var loaded atomic.Bool
	for _, engine := range engines {
		engine.SetFault(func(string) standin.EngineFault {
			if loaded.Load() {
				return standin.NoFault
			}
			return standin.RefusesFull
		})
	}
	d.configure(batchRoute("/batch/"))
	node := d.start("n0")
	ids := itemIDs(40)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "each engine to refuse some items", func() bool {
		return len(engines[0].ArrivalTimes()) > 10 && len(engines[1].ArrivalTimes()) > 10
	})
	loaded.Store(true)
	assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 1)
	assertWithinColdRate(t, engines...)
}

// An engine that is listed after the node started is cold even though its entry does not say so.
func TestNewlyListedEngineIsCold(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = slowStartSettings
	warm := d.addModelEngine("warm", 1, 1, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n0")
	late := d.addModelEngine("late", 1, 1, 0)
	testwait.Until(t, "the late engine to count as cold", func() bool {
		return strings.Contains(node.logs.String(), `"reason":"first_seen"`)
	})
	ids := itemIDs(300)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 1)
	assertWithinColdRate(t, late)
	assert.Assert(t, len(warm.ArrivalTimes()) > len(late.ArrivalTimes()))
}

// flood calls all nodes concurrently until stop is set. It returns the number of successes by node, the
// number of rejections with Retry-After, and all other results.
func flood(nodes []*testNode, stop *atomic.Bool) (successes []int64, rejections int64, others []callResult) {
	const callersPerNode = 6
	succeeded := make([]atomic.Int64, len(nodes))
	var rejected atomic.Int64
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, node := range nodes {
		for caller := range callersPerNode {
			callers.Go(func() {
				for call := 0; !stop.Load(); call++ {
					got := node.call(http.MethodPost, "/a/x", fmt.Sprint("r", i, "-", caller, "-", call), "")
					switch {
					case got.status == http.StatusOK:
						succeeded[i].Add(1)
					case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
						rejected.Add(1)
					default:
						mu.Lock()
						others = append(others, got)
						mu.Unlock()
					}
				}
			})
		}
	}
	callers.Wait()
	for i := range succeeded {
		successes = append(successes, succeeded[i].Load())
	}
	return successes, rejected.Load(), others
}

func addColdDesk(d *deployment, id string) *standin.Engine {
	return d.addEngine(standin.EngineOptions{ID: id, Service: "desk", ColdFor: coldTime})
}

// All nodes together keep the rate across a leader change; requests beyond it are rejected with Retry-After.
func TestColdEngineRateIsSharedByAllNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = slowStartSettings
	engines := []*standin.Engine{addColdDesk(d, "e1"), addColdDesk(d, "e2")}
	d.configure(safeRoute("/a/"))
	leader := d.start("n0")
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
	var stop atomic.Bool
	var successes []int64
	var rejections int64
	var others []callResult
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		successes, rejections, others = flood(nodes, &stop)
	}()
	testwait.Until(t, "the first leader to admit some requests", func() bool { return arrivalCount(engines) > 20 })
	leader.cancel()
	<-leader.done
	before := arrivalCount(engines)
	testwait.Until(t, "the next leader to admit some requests", func() bool { return arrivalCount(engines) > before+20 })
	stop.Store(true)
	<-ended
	assert.Equal(t, len(others), 0, "%+v", others)
	for i, count := range successes {
		assert.Assert(t, count > 0, "node %d got no share of the rate", i+1)
	}
	assert.Assert(t, rejections > 0)
	assertWithinColdRate(t, engines...)
}

// No request is rejected while warm engines have free slots.
func TestWarmEnginesTakeRequestsBeyondColdRate(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = slowStartSettings
	cold, warm := addColdDesk(d, "e1"), addDesk(d, "e2")
	d.configure(safeRoute("/a/"))
	node := d.start("n0")
	for i := range 50 {
		got := node.call(http.MethodPost, "/a/x", fmt.Sprint("r", i), "")
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, len(cold.ArrivalTimes()), 0)
	assert.Equal(t, len(warm.ArrivalTimes()), 50)
}
