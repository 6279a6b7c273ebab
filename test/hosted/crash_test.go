package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	benchprocess "github.com/corkpulley/corkpulley/internal/bench/process"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// crashing stands in the body of requests that end each engine which begins them.
	crashing = "ends-the-engine"
	// engineDownTime is how long an engine that crashed is away, engineLapse how long
	// its entry stays listed.
	engineDownTime = 300 * time.Millisecond
	engineLapse    = 250 * time.Millisecond
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
	var hosts []*standin.EngineHost
	options.Zone, options.Slots = "z1", 8
	if options.EndsUnder == nil {
		options.EndsUnder = endsUnderCrashing
	}
	for i := range count {
		address, err := benchprocess.FreeAddress()
		assert.NilError(d.t, err)
		options.ID = fmt.Sprintf("%s-%d", options.Service, i)
		host, err := standin.NewEngineHost(d.store, address, options, engineDownTime, engineLapse)
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
