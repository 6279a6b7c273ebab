package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	benchprocess "github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
	"github.com/corkpulley/corkpulley/platform"
)

const (
	// crashing stands in the body of requests that end each engine which begins them.
	crashing = "ends-the-engine"
	// engineDownTime is how long an engine that crashed is away, engineLapse how long
	// its entry stays listed.
	engineDownTime = 300 * time.Millisecond
	engineLapse    = 250 * time.Millisecond
	// rebirthTime is how long an engine that starts again under its ID is away.
	rebirthTime = 150 * time.Millisecond
	// crashesAllowed is how many engines may end under a request before it is kept
	// away from them, knownAfter the time that all nodes may take to know, and
	// sendsAfter how many sends are allowed beyond.
	crashesAllowed = 3
	knownAfter     = time.Second
	sendsAfter     = 3
)

func endsUnderCrashing(run standin.Run) bool { return strings.Contains(run.Body, crashing) }

// addHosts starts engines of a service that crash under some requests and come back.
func (d *deployment) addHosts(count int, options standin.EngineOptions) []*standin.EngineHost {
	d.t.Helper()
	return d.addHostsThatAreAway(count, options, engineDownTime)
}

// addHostsThatAreAway is addHosts with engines that are away for a time after a crash.
func (d *deployment) addHostsThatAreAway(count int, options standin.EngineOptions, downTime time.Duration) []*standin.EngineHost {
	d.t.Helper()
	var hosts []*standin.EngineHost
	options.Zone, options.Slots = "z1", 8
	if options.EndsUnder == nil {
		options.EndsUnder = endsUnderCrashing
	}
	for i := range count {
		address, err := benchprocess.FreeAddress()
		assert.NilError(d.t, err)
		options.ID = fmt.Sprintf("%s-%d", options.Service, i)
		host, err := standin.NewEngineHost(d.store, address, options, downTime, engineLapse)
		assert.NilError(d.t, err)
		d.t.Cleanup(host.Close)
		hosts = append(hosts, host)
	}
	return hosts
}

// crashingRuns returns when requests that end their engine were run, in order.
func crashingRuns(hosts []*standin.EngineHost) []time.Time {
	var runs []time.Time
	for _, host := range hosts {
		for _, engine := range host.Engines() {
			for _, run := range engine.Runs() {
				if endsUnderCrashing(run) {
					runs = append(runs, run.At)
				}
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	return runs
}

// assertNotSentOnAndOn checks that few sends follow once engines have ended under a
// request and all nodes have had time to know.
func assertNotSentOnAndOn(t *testing.T, hosts []*standin.EngineHost) {
	t.Helper()
	runs := crashingRuns(hosts)
	if len(runs) <= crashesAllowed {
		return
	}
	known := runs[crashesAllowed-1].Add(knownAfter)
	after := 0
	for _, at := range runs {
		if at.After(known) {
			after++
		}
	}
	assert.Assert(t, after <= sendsAfter, "%d engines ended, %d of them %s after the third or later",
		len(runs), after, knownAfter)
}

// sendCrashing sends the same request again and again, at one node after the other, until
// the time is over. It returns the answers' statuses.
func sendCrashing(t *testing.T, nodes []*process, prefix string, lasting time.Duration) []int {
	t.Helper()
	var statuses []int
	for until, i := time.Now().Add(lasting), 0; time.Now().Before(until); i++ {
		node := nodes[i%len(nodes)]
		got := node.call(http.MethodPost, prefix+"same", fmt.Sprintf("crash-%d-%d", i, time.Now().UnixNano()), crashing)
		statuses = append(statuses, got.status)
		time.Sleep(30 * time.Millisecond)
	}
	return statuses
}

// TestARequestThatCrashesItsEnginesIsNotSentOnAndOn: the same request comes again and
// again, each time with another ID and at another node.
func TestARequestThatCrashesItsEnginesIsNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	nodes := []*process{d.start("n1"), d.start("n2"), d.start("n3")}
	sendCrashing(t, nodes, "/a/", 4*time.Second)
	assertNotSentOnAndOn(t, hosts)
	for i, node := range nodes {
		testwait.Until(t, "others are served", func() bool {
			return node.call(http.MethodPost, "/a/other", fmt.Sprintf("other-%d", i), "").status == http.StatusOK
		})
	}
}

// TestARequestThatCrashesOneEngineAgainAndAgainIsNotSentOnAndOn: the engine is back under
// its ID before its entry has gone; the end of each of its incarnations counts.
func TestARequestThatCrashesOneEngineAgainAndAgainIsNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			hosts := d.addHostsThatAreAway(engines, standin.EngineOptions{Service: "desk", Born: 1}, rebirthTime)
			d.configure(safeRoute("/a/"))
			nodes := []*process{d.start("n1"), d.start("n2"), d.start("n3")}
			sendCrashing(t, nodes, "/a/", 4*time.Second)
			assertNotSentOnAndOn(t, hosts)
			for i, node := range nodes {
				testwait.Until(t, "others are served", func() bool {
					return node.call(http.MethodPost, "/a/other", fmt.Sprintf("other-%d", i), "").status == http.StatusOK
				})
			}
		})
	}
}

// TestAnItemThatCrashesItsEnginesIsNotRunOnAndOn: the other items of its job are whole, and
// the item is given up at its time.
func TestAnItemThatCrashesItsEnginesIsNotRunOnAndOn(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addHosts(3, standin.EngineOptions{
		Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 20 },
		EventTime: 10 * time.Millisecond, EventsBeforeEnd: 2,
	})
	drafts := batchRoute("/batch/")
	drafts["queueTtlS"] = 8
	d.configure(drafts)
	node := d.start("n1")
	ids := []string{"a", "b", crashing, "c", "d", "e", "f"}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	got := d.awaitResults(node, "job1", len(ids))
	for _, result := range got.Results {
		if result.ID == crashing {
			assert.Equal(t, result.State, "expired")
			continue
		}
		assert.Equal(t, result.State, "completed", result.ID)
		assert.Equal(t, result.Text, standin.Text(result.ID, 20))
	}
	assertNotSentOnAndOn(t, hosts)
}

// TestARequestStaysAwayFromEnginesOverARestartOfAll: whoever starts knows what others saw.
func TestARequestStaysAwayFromEnginesOverARestartOfAll(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	before := []*process{d.start("n1"), d.start("n2")}
	sendCrashing(t, before, "/a/", time.Second)
	ended := len(crashingRuns(hosts))
	assert.Assert(t, ended >= 2, "%d engines ended", ended)
	for _, node := range before {
		node.cancel()
		<-node.done
	}
	after := []*process{d.start("n1"), d.start("n2")}
	for _, status := range sendCrashing(t, after, "/a/", 2*time.Second) {
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(crashingRuns(hosts)), ended)
}

// TestANodeThatStartsWaitsUntilItKnowsWhichRequestsCrash: the log tells everything else
// before.
func TestANodeThatStartsWaitsUntilItKnowsWhichRequestsCrash(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	first := d.start("n1")
	sendCrashing(t, []*process{first}, "/a/", time.Second)
	first.cancel()
	<-first.done
	ended := len(crashingRuns(hosts))
	topic := platform.New(d.address, "").CrashTopic()
	var refused atomic.Int64
	d.store.Log.SetFault(func(call memlog.Call) memlog.Fault {
		if call.Partition.Topic == topic && refused.Add(1) <= 4 {
			return memlog.Refused
		}
		return memlog.None
	})
	second := d.start("n2")
	assert.Equal(t, sendCrashing(t, []*process{second}, "/a/", time.Millisecond)[0], http.StatusServiceUnavailable)
	assert.Equal(t, len(crashingRuns(hosts)), ended)
}

// TestARequestStaysAwayFromEnginesInAnOutage: the store takes and tells nothing, from
// before the first engine ends until after the last.
func TestARequestStaysAwayFromEnginesInAnOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	nodes := []*process{d.start("n1"), d.start("n2"), d.start("n3")}
	testwait.Until(t, "the nodes know each other", func() bool {
		for _, node := range nodes {
			if !strings.Contains(node.logs.String(), `"known":3`) {
				return false
			}
		}
		return true
	})
	d.store.Log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	sendCrashing(t, nodes, "/a/", 4*time.Second)
	assertNotSentOnAndOn(t, hosts)
	ended := len(crashingRuns(hosts))
	d.noFault()
	testwait.Until(t, "the records are in the log", func() bool {
		newest, err := d.store.Log.Newest(t.Context(), platform.New(d.address, "").CrashTopic())
		return err == nil && len(newest.Records) >= ended
	})
	sendCrashing(t, nodes, "/a/", time.Second)
	assertNotSentOnAndOn(t, hosts)
}

// TestOtherKindsOfRequestsAreNotSentOnAndOn: those that run at most once come again as
// other requests, streams that may go on elsewhere end each engine midway.
func TestOtherKindsOfRequestsAreNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	unsafe := safeRoute("/a/")
	unsafe["routeKind"] = "unsafe"
	streaming := batchRoute("/a/")
	streaming["routeKind"] = "streaming"
	for name, route := range map[string]route{"unsafe": unsafe, "resumable stream": streaming} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			options := standin.EngineOptions{Service: "desk"}
			if route["service"] == "llm" {
				options = standin.EngineOptions{
					Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 20 },
					EventTime: 10 * time.Millisecond, EventsBeforeEnd: 2,
				}
			}
			hosts := d.addHosts(3, options)
			d.configure(route)
			nodes := []*process{d.start("n1"), d.start("n2")}
			sendCrashing(t, nodes, "/a/", 3*time.Second)
			assertNotSentOnAndOn(t, hosts)
			assert.Assert(t, len(crashingRuns(hosts)) >= 2)
		})
	}
}

// TestAScoringCallThatCrashesItsEnginesIsNotMadeOnAndOn: other items are scored.
func TestAScoringCallThatCrashesItsEnginesIsNotMadeOnAndOn(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}})
	hosts := d.addHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(batchRoute("/batch/"), safeRoute("/scoring/"))
	node := d.start("n1")
	ids := []string{"a", crashing, "b"}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", scoredJob(1, ids...)).status, http.StatusAccepted)
	d.awaitResults(node, "job1", len(ids)-1)
	time.Sleep(3 * time.Second)
	got, _ := node.readResults("job1", 0)
	assert.Equal(t, len(got.Results), len(ids)-1)
	assertNotSentOnAndOn(t, hosts)
}

// firstHold is how long a request is held at first. One that lost two engines which another request
// ended cannot be told from that one, unless a success of the same request comes after: it is
// served at its trial then.
const firstHold = time.Minute

// TestARequestBesideOneThatCrashesIsServed: the same lookup comes again and again from
// several callers, and many of them are lost with their engines.
func TestARequestBesideOneThatCrashesIsServed(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	nodes := []*process{d.start("n1"), d.start("n2")}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				nodes[i%len(nodes)].call(http.MethodPost, "/a/popular", fmt.Sprintf("popular-%d-%d", caller, i), "")
			}
		})
	}
	for i := range 5 {
		// Another request each time, so that engines go on ending.
		body := fmt.Sprintf("%s %d", crashing, i)
		for range 3 {
			nodes[i%len(nodes)].call(http.MethodPost, "/a/x", fmt.Sprintf("crash-%d-%d", i, time.Now().UnixNano()), body)
		}
		time.Sleep(2 * engineDownTime)
	}
	close(stop)
	callers.Wait()
	for _, node := range nodes {
		testwait.After(t, "the popular request is served", firstHold, func() bool {
			return node.call(http.MethodPost, "/a/popular", fmt.Sprint("last-", time.Now().UnixNano()), "").status == http.StatusOK
		})
	}
}

// TestEnginesThatCrashByThemselvesBlameNoItem: engines end again and again under a job's
// items, each time another one.
func TestEnginesThatCrashByThemselvesBlameNoItem(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addHosts(4, standin.EngineOptions{
		Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 60 },
		EventTime: 15 * time.Millisecond,
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("item-", i))
	}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	for _, host := range hosts[:2] {
		testwait.Until(t, "items run", func() bool { return len(host.Engines()[len(host.Engines())-1].Runs()) > 0 })
		host.Crash()
	}
	for _, result := range d.awaitResults(node, "job1", len(ids)).Results {
		assert.Equal(t, result.State, "completed")
		assert.Equal(t, result.Text, standin.Text(result.ID, 60))
	}
	assert.Assert(t, !strings.Contains(node.logs.String(), "item kept away from engines"))
}
