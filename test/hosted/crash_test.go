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
	// crashMarker in a request body crashes every engine that starts the request.
	crashMarker = "ends-the-engine"
	// engineDownTime is how long a crashed engine is down, crashedEntryTTL how long its entry stays listed.
	engineDownTime  = 300 * time.Millisecond
	crashedEntryTTL = 250 * time.Millisecond
	// quickRestartTime is the down time of an engine that is back before its entry expires.
	quickRestartTime = 150 * time.Millisecond
	// crashesAllowed is the number of crashes before a request is quarantined, propagationTime the time for all
	// nodes to learn of them, and extraSendsAllowed the number of sends accepted after that.
	crashesAllowed    = 3
	propagationTime   = time.Second
	extraSendsAllowed = 3
)

func isCrashRun(run standin.Run) bool { return strings.Contains(run.Body, crashMarker) }

// addCrashingHosts starts engines that crash under some requests and restart.
func (d *deployment) addCrashingHosts(count int, options standin.EngineOptions) []*standin.EngineHost {
	d.t.Helper()
	return d.addCrashingHostsWithDownTime(count, options, engineDownTime)
}

// addCrashingHostsWithDownTime is addCrashingHosts with the given down time after a crash.
func (d *deployment) addCrashingHostsWithDownTime(
	count int, options standin.EngineOptions, downTime time.Duration,
) []*standin.EngineHost {
	d.t.Helper()
	var hosts []*standin.EngineHost
	options.Zone, options.Slots = "z1", 8
	if options.CrashesOn == nil {
		options.CrashesOn = isCrashRun
	}
	for i := range count {
		address, err := benchprocess.FreeAddress()
		assert.NilError(d.t, err)
		options.ID = fmt.Sprintf("%s-%d", options.Service, i)
		host, err := standin.NewEngineHost(d.store, address, options, downTime, crashedEntryTTL)
		assert.NilError(d.t, err)
		d.t.Cleanup(host.Close)
		hosts = append(hosts, host)
	}
	return hosts
}

// crashRunTimes returns the start times of crashing requests in ascending order.
func crashRunTimes(hosts []*standin.EngineHost) []time.Time {
	var runs []time.Time
	for _, host := range hosts {
		for _, engine := range host.Engines() {
			for _, run := range engine.Runs() {
				if isCrashRun(run) {
					runs = append(runs, run.At)
				}
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	return runs
}

// assertCrashesBounded checks that few sends of a crashing request follow once all nodes could know of its
// crashes.
func assertCrashesBounded(t *testing.T, hosts []*standin.EngineHost) {
	t.Helper()
	runs := crashRunTimes(hosts)
	if len(runs) <= crashesAllowed {
		return
	}
	known := runs[crashesAllowed-1].Add(propagationTime)
	after := 0
	for _, at := range runs {
		if at.After(known) {
			after++
		}
	}
	assert.Assert(t, after <= extraSendsAllowed, "%d engines crashed, %d of them more than %s after the last allowed crash",
		len(runs), after, propagationTime)
}

// sendCrashRequests sends the same crashing request to the nodes in turn for the given time and returns
// the statuses.
func sendCrashRequests(t *testing.T, nodes []*testNode, prefix string, duration time.Duration) []int {
	t.Helper()
	var statuses []int
	for until, i := time.Now().Add(duration), 0; time.Now().Before(until); i++ {
		node := nodes[i%len(nodes)]
		got := node.call(http.MethodPost, prefix+"same", fmt.Sprintf("crash-%d-%d", i, time.Now().UnixNano()), crashMarker)
		statuses = append(statuses, got.status)
		time.Sleep(30 * time.Millisecond)
	}
	return statuses
}

// The same request arrives repeatedly under new IDs and at different nodes.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addCrashingHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
	sendCrashRequests(t, nodes, "/a/", 4*time.Second)
	assertCrashesBounded(t, hosts)
	for i, node := range nodes {
		testwait.Until(t, "other requests to be served", func() bool {
			return node.call(http.MethodPost, "/a/other", fmt.Sprintf("other-%d", i), "").status == http.StatusOK
		})
	}
}

// Each incarnation that crashes counts, even though the engine's entry never leaves the list.
func TestCrashingRequestIsQuarantinedAcrossEngineRestarts(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			hosts := d.addCrashingHostsWithDownTime(engines, standin.EngineOptions{Service: "desk", StartMillis: 1}, quickRestartTime)
			d.configure(safeRoute("/a/"))
			nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
			sendCrashRequests(t, nodes, "/a/", 4*time.Second)
			assertCrashesBounded(t, hosts)
			for i, node := range nodes {
				testwait.Until(t, "other requests to be served", func() bool {
					return node.call(http.MethodPost, "/a/other", fmt.Sprintf("other-%d", i), "").status == http.StatusOK
				})
			}
		})
	}
}

// crashesFirstRuns returns a function that reports whether a run crashes its engine: each of the first runs under the
// crash marker does.
func crashesFirstRuns(count int64) func(standin.Run) bool {
	var runs atomic.Int64
	return func(run standin.Run) bool { return isCrashRun(run) && runs.Add(1) <= count }
}

// Guards against an accepted item that is never placed again because engines crashed while they ran it.
func TestItemIsCompletedAfterEnginesCrashedUnderIt(t *testing.T) {
	t.Parallel()
	const crashes = 8
	d := deploy(t)
	hosts := d.addCrashingHosts(3, standin.EngineOptions{
		Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 20 },
		EventTime: 10 * time.Millisecond, CrashesOn: crashesFirstRuns(crashes),
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	ids := []string{"a", "b", crashMarker, "c", "d", "e", "f"}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	got := d.awaitResults(node, "job1", len(ids))
	for _, result := range got.Results {
		assert.Equal(t, result.State, "completed", result.ID)
		assert.Equal(t, result.Text, standin.ItemText(result.ID, 20))
	}
	runs := crashRunTimes(hosts)
	assert.Assert(t, len(runs) > crashes, "%d runs", len(runs))
	assertBegunAgainWithin(t, runs, maxItemWait)
}

// maxItemWait is how long an item may be at no engine while engines have room.
const maxItemWait = 5 * time.Second

func assertBegunAgainWithin(t *testing.T, runs []time.Time, bound time.Duration) {
	t.Helper()
	for i := 1; i < len(runs); i++ {
		assert.Assert(t, runs[i].Sub(runs[i-1]) <= bound, "run %d began %s after the one before", i, runs[i].Sub(runs[i-1]))
	}
}

// Crash records are read from the log, so nodes that start later do not repeat the crashes.
func TestQuarantineSurvivesRestartOfAllNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addCrashingHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	before := []*testNode{d.start("n1"), d.start("n2")}
	sendCrashRequests(t, before, "/a/", time.Second)
	crashes := len(crashRunTimes(hosts))
	assert.Assert(t, crashes >= 2, "%d engines crashed", crashes)
	for _, node := range before {
		node.cancel()
		<-node.done
	}
	after := []*testNode{d.start("n1"), d.start("n2")}
	for _, status := range sendCrashRequests(t, after, "/a/", 2*time.Second) {
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(crashRunTimes(hosts)), crashes)
}

// Guards against a node that serves while reads of the crash records still fail.
func TestStartingNodeReadsCrashRecordsBeforeServing(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addCrashingHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	first := d.start("n1")
	sendCrashRequests(t, []*testNode{first}, "/a/", time.Second)
	first.cancel()
	<-first.done
	crashes := len(crashRunTimes(hosts))
	topic := platform.New(d.address, "").CrashTopic()
	var refused atomic.Int64
	d.store.Log.SetFault(func(call memlog.Call) memlog.Fault {
		if call.Partition.Topic == topic && refused.Add(1) <= 4 {
			return memlog.Refused
		}
		return memlog.None
	})
	second := d.start("n2")
	assert.Equal(t, sendCrashRequests(t, []*testNode{second}, "/a/", time.Millisecond)[0], http.StatusServiceUnavailable)
	assert.Equal(t, len(crashRunTimes(hosts)), crashes)
}

// TestNodeServesWithoutUnreadableCrashRecords guards against a node that serves nothing while the log refuses only the crash
// records.
func TestNodeServesWithoutUnreadableCrashRecords(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "e1", Service: "desk"})
	d.configure(safeRoute("/a/"))
	topic := platform.New(d.address, "").CrashTopic()
	d.store.Log.SetFault(func(call memlog.Call) memlog.Fault {
		if call.Partition.Topic == topic {
			return memlog.Refused
		}
		return memlog.None
	})
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/a/1", "first", "").status, http.StatusOK)
	assert.Assert(t, strings.Contains(node.logs.String(), "serving without crash records"))
}

// The log is down from before the first crash; nodes must exchange crash records directly and append them
// once the log is back.
func TestQuarantineHoldsDuringLogOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addCrashingHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
	testwait.Until(t, "the nodes to know each other", func() bool {
		for _, node := range nodes {
			if !strings.Contains(node.logs.String(), `"known":3`) {
				return false
			}
		}
		return true
	})
	d.store.Log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	sendCrashRequests(t, nodes, "/a/", 4*time.Second)
	assertCrashesBounded(t, hosts)
	crashes := len(crashRunTimes(hosts))
	d.clearFaults()
	testwait.Until(t, "the records to be in the log", func() bool {
		newest, err := d.store.Log.Newest(t.Context(), platform.New(d.address, "").CrashTopic())
		return err == nil && len(newest.Records) >= crashes
	})
	sendCrashRequests(t, nodes, "/a/", time.Second)
	assertCrashesBounded(t, hosts)
}

// Unsafe requests are sent again by callers, resumable streams are resumed at other engines.
func TestCrashingUnsafeAndStreamingRequestsAreQuarantined(t *testing.T) {
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
					EventTime: 10 * time.Millisecond, EventsBeforeCrash: 2,
				}
			}
			hosts := d.addCrashingHosts(3, options)
			d.configure(route)
			nodes := []*testNode{d.start("n1"), d.start("n2")}
			sendCrashRequests(t, nodes, "/a/", 3*time.Second)
			assertCrashesBounded(t, hosts)
			assert.Assert(t, len(crashRunTimes(hosts)) >= 2)
		})
	}
}

// Guards against an accepted item that is never listed because engines crashed while they ran its scoring call, and
// against a live request of the same content that is held for it.
func TestScoringCallIsAnsweredAfterEnginesCrashedUnderIt(t *testing.T) {
	t.Parallel()
	const crashes = 6
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}})
	hosts := d.addCrashingHosts(3, standin.EngineOptions{Service: "desk", CrashesOn: crashesFirstRuns(crashes)})
	d.configure(batchRoute("/batch/"), safeRoute("/scoring/"))
	node := d.start("n1")
	ids := []string{"a", crashMarker, "b"}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", scoredJobBody(1, ids...)).status, http.StatusAccepted)
	for _, result := range d.awaitResults(node, "job1", len(ids)).Results {
		assert.Equal(t, result.State, "completed", result.ID)
	}
	runs := crashRunTimes(hosts)
	assert.Assert(t, len(runs) > crashes, "%d runs", len(runs))
	assertBegunAgainWithin(t, runs, maxItemWait)
	live := node.call(http.MethodPost, "/scoring/"+crashMarker, "live", "score "+crashMarker)
	assert.Equal(t, live.status, http.StatusOK)
}

// Guards against a scoring call that is held for what a live request of the same content did to engines.
func TestScoringCallIsMadeAlthoughLiveRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}})
	hosts := d.addCrashingHosts(3, standin.EngineOptions{Service: "desk", CrashesOn: crashesFirstRuns(2)})
	d.configure(batchRoute("/batch/"), safeRoute("/scoring/"))
	node := d.start("n1")
	sendLive := func(id string) int {
		return node.call(http.MethodPost, "/scoring/"+crashMarker, id, "score "+crashMarker).status
	}
	for i := 0; len(crashRunTimes(hosts)) < 2; i++ {
		sendLive(fmt.Sprint("live-", i))
	}
	testwait.Until(t, "the live request to be quarantined", func() bool {
		return sendLive(fmt.Sprint("again-", time.Now().UnixNano())) == http.StatusServiceUnavailable
	})
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", scoredJobBody(1, crashMarker)).status, http.StatusAccepted)
	for _, result := range d.awaitResults(node, "job1", 1).Results {
		assert.Equal(t, result.State, "completed")
	}
	assert.Equal(t, sendLive("after"), http.StatusServiceUnavailable)
}

// initialQuarantine is the length of a request's first quarantine. A request that was running on two engines when
// they crashed cannot be distinguished from the one that crashed them until a later run of it succeeds.
const initialQuarantine = time.Minute

// A frequent request that often runs on engines when they crash must be served again after its first quarantine.
func TestRequestSharingEnginesWithCrashingOneIsServed(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addCrashingHosts(3, standin.EngineOptions{Service: "desk"})
	d.configure(safeRoute("/a/"))
	nodes := []*testNode{d.start("n1"), d.start("n2")}
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
		// Varies the request so that quarantine does not stop the crashes.
		body := fmt.Sprintf("%s %d", crashMarker, i)
		for range 3 {
			nodes[i%len(nodes)].call(http.MethodPost, "/a/x", fmt.Sprintf("crash-%d-%d", i, time.Now().UnixNano()), body)
		}
		time.Sleep(2 * engineDownTime)
	}
	close(stop)
	callers.Wait()
	for _, node := range nodes {
		testwait.UntilExtended(t, "the popular request to be served", initialQuarantine, func() bool {
			return node.call(http.MethodPost, "/a/popular", fmt.Sprint("last-", time.Now().UnixNano()), "").status == http.StatusOK
		})
	}
}

// Guards against quarantining the items of engines that crash regardless of what they run.
func TestSpontaneousEngineCrashesQuarantineNoItem(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	hosts := d.addCrashingHosts(4, standin.EngineOptions{
		Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 60 },
		EventTime: 15 * time.Millisecond,
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("item-", i))
	}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	for _, host := range hosts[:2] {
		testwait.Until(t, "items to run", func() bool { return len(host.Engines()[len(host.Engines())-1].Runs()) > 0 })
		host.Crash()
	}
	for _, result := range d.awaitResults(node, "job1", len(ids)).Results {
		assert.Equal(t, result.State, "completed")
		assert.Equal(t, result.Text, standin.ItemText(result.ID, 60))
	}
	assert.Assert(t, !strings.Contains(node.logs.String(), "quarantined"))
}
