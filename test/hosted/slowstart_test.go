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
	// coldTime is how long engines are cold: beyond all tests.
	coldTime = time.Minute
	// coldRate is what a cold engine takes in a second, coldMost what it bears.
	coldRate = 6.0
	coldMost = coldRate*1.5 + 5
)

// bounded is the slow start of all services.
var bounded = map[string]any{"coldStartS": coldTime.Seconds(), "coldPerS": coldRate}

// coldEngines are engines of the model that have just started.
func (d *deployment) coldEngines(count int) []*standin.Engine {
	var engines []*standin.Engine
	for i := range count {
		engines = append(engines, d.addEngine(standin.EngineOptions{
			ID: fmt.Sprint("cold", i), Service: "llm", Versions: map[string]int64{model: 1}, ColdFor: coldTime,
			Events: func(string) int { return 1 }, LoadTime: 50 * time.Millisecond, CheckFences: true,
		}))
	}
	return engines
}

// mostInASecond is the largest number of arrivals within a second of each other.
func mostInASecond(arrivals []time.Time) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func assertPaced(t *testing.T, engines ...*standin.Engine) {
	t.Helper()
	for _, engine := range engines {
		most := mostInASecond(engine.Arrivals())
		assert.Assert(t, float64(most) <= coldMost, "%s got %d in a second", engine.ID(), most)
	}
}

func arrived(engines []*standin.Engine) int {
	count := 0
	for _, engine := range engines {
		count += len(engine.Arrivals())
	}
	return count
}

// TestColdEnginesGetTheirRateOfItemsAcrossATakeover: the lead is handed over at once, without a lease
// that runs out between the two leaders, and nothing starves.
func TestColdEnginesGetTheirRateOfItemsAcrossATakeover(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = bounded
	engines := d.coldEngines(3)
	d.configure(batchRoute("/batch/"))
	leader := d.start("n0")
	other := d.start("n1")
	ids := itemIDs(100)
	assert.Equal(t, leader.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "a third of the items have run", func() bool { return arrived(engines) > 33 })
	leader.cancel()
	<-leader.done
	checkWhole(t, d.awaitResults(other, "job1", len(ids)), ids, 1)
	assertPaced(t, engines...)
}

// TestColdEnginesThatRefuseItemsGetNoMore: they are still loading, and each item comes again.
func TestColdEnginesThatRefuseItemsGetNoMore(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = bounded
	engines := d.coldEngines(2)
	var loaded atomic.Bool
	for _, engine := range engines {
		engine.SetFault(func(string) standin.EngineFault {
			if loaded.Load() {
				return standin.Works
			}
			return standin.Full
		})
	}
	d.configure(batchRoute("/batch/"))
	node := d.start("n0")
	ids := itemIDs(40)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "each engine has refused some", func() bool {
		return len(engines[0].Arrivals()) > 10 && len(engines[1].Arrivals()) > 10
	})
	loaded.Store(true)
	checkWhole(t, d.awaitResults(node, "job1", len(ids)), ids, 1)
	assertPaced(t, engines...)
}

// TestAnEngineThatIsListedLaterCountsAsCold though its entry does not say so, while those that were
// there when the node started are as warm as they say.
func TestAnEngineThatIsListedLaterCountsAsCold(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = bounded
	warm := d.addModelEngine("warm", 1, 1, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n0")
	late := d.addModelEngine("late", 1, 1, 0)
	testwait.Until(t, "the late engine counts as cold", func() bool {
		return strings.Contains(node.logs.String(), `"reason":"first_seen"`)
	})
	ids := itemIDs(300)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	checkWhole(t, d.awaitResults(node, "job1", len(ids)), ids, 1)
	assertPaced(t, late)
	assert.Assert(t, len(warm.Arrivals()) > len(late.Arrivals()))
}

// flood has many callers ask all nodes until told to stop. It returns how many were answered by each
// node, how many were refused with a time to come again, and all other answers.
func flood(nodes []*process, stop *atomic.Bool) (answered []int64, refused int64, others []answer) {
	const callersPerNode = 6
	served := make([]atomic.Int64, len(nodes))
	var denied atomic.Int64
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, node := range nodes {
		for caller := range callersPerNode {
			callers.Go(func() {
				for call := 0; !stop.Load(); call++ {
					got := node.call(http.MethodPost, "/a/x", fmt.Sprint("r", i, "-", caller, "-", call), "")
					switch {
					case got.status == http.StatusOK:
						served[i].Add(1)
					case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
						denied.Add(1)
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
	for i := range served {
		answered = append(answered, served[i].Load())
	}
	return answered, denied.Load(), others
}

func coldDesk(d *deployment, id string) *standin.Engine {
	return d.addEngine(standin.EngineOptions{ID: id, Service: "desk", ColdFor: coldTime})
}

// TestAllNodesTogetherSendAColdEngineItsRate, and requests that do not fit are refused as not run, with
// a time to come again, at all nodes. The leader stops in the middle.
func TestAllNodesTogetherSendAColdEngineItsRate(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = bounded
	engines := []*standin.Engine{coldDesk(d, "e1"), coldDesk(d, "e2")}
	d.configure(safeRoute("/a/"))
	leader := d.start("n0")
	nodes := []*process{d.start("n1"), d.start("n2"), d.start("n3")}
	var stop atomic.Bool
	var answered []int64
	var refused int64
	var others []answer
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		answered, refused, others = flood(nodes, &stop)
	}()
	testwait.Until(t, "the first leader has admitted some", func() bool { return arrived(engines) > 20 })
	leader.cancel()
	<-leader.done
	before := arrived(engines)
	testwait.Until(t, "the next leader has admitted some", func() bool { return arrived(engines) > before+20 })
	stop.Store(true)
	<-ended
	assert.Equal(t, len(others), 0, "%+v", others)
	for i, count := range answered {
		assert.Assert(t, count > 0, "node %d got nothing of the rate", i+1)
	}
	assert.Assert(t, refused > 0)
	assertPaced(t, engines...)
}

// TestWarmEnginesGetWhatColdOnesWouldNot: nothing is refused while they have places.
func TestWarmEnginesGetWhatColdOnesWouldNot(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.slowStart = bounded
	cold, warm := coldDesk(d, "e1"), desk(d, "e2")
	d.configure(safeRoute("/a/"))
	node := d.start("n0")
	for i := range 50 {
		got := node.call(http.MethodPost, "/a/x", fmt.Sprint("r", i), "")
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, len(cold.Arrivals()), 0)
	assert.Equal(t, len(warm.Arrivals()), 50)
}
