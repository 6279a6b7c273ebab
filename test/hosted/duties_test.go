package hosted

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// usageWindow and usageDue are short, so that tests see several windows.
const (
	usageWindow = time.Second
	usageDue    = 4 * time.Second
)

// takeDuties starts what takes the platform's calls that one node at a time makes.
func (d *deployment) takeDuties() *standin.Duties {
	d.t.Helper()
	calls := standin.NewDuties()
	server := httptest.NewServer(calls)
	d.t.Cleanup(server.Close)
	d.duties = strings.TrimPrefix(server.URL, "http://")
	return calls
}

// reportedOf sums up the reports of a tenant over all windows.
func reportedOf(calls *standin.Duties, tenant string) int64 {
	windows, _ := calls.Reported()
	var sum int64
	for _, counts := range windows {
		sum += counts[tenant]
	}
	return sum
}

// TestUseIsReportedOnceThroughAChangeOfLeaders: while requests come, the leader stops,
// and for a while calls are carried out without an answer.
func TestUseIsReportedOnceThroughAChangeOfLeaders(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.orderQuiet, d.enginesFence = time.Second, true
	calls := d.takeDuties()
	desk(d, "e1")
	d.tenants = []tenant{{"first", []string{"key-one"}}, {"second", []string{"key-two"}}}
	d.configure(safeRoute("/a/"))
	leader := d.start("n1")
	testwait.Until(t, "the first node leads", func() bool { return len(calls.Usage()) > 0 })
	other := d.start("n2")
	answered := map[string]int64{}
	send := func(node *process, key, tenant string, id int) {
		got := node.call(http.MethodPost, "/a/x", fmt.Sprint(tenant, id), "", authorization, bearer(key))
		assert.Equal(t, got.status, http.StatusOK)
		answered[tenant]++
	}
	for i := range 40 {
		send(leader, "key-one", "first", 2*i)
		send(other, "key-one", "first", 2*i+1)
		send(other, "key-two", "second", i)
		switch i {
		case 10:
			calls.LoseAnswers(true)
		case 20:
			calls.LoseAnswers(false)
		}
		time.Sleep(50 * time.Millisecond)
	}
	leader.cancel()
	<-leader.done
	for i := range 10 {
		send(other, "key-two", "second", 100+i)
	}
	testwait.Until(t, "all use is reported", func() bool {
		return reportedOf(calls, "first") == answered["first"] && reportedOf(calls, "second") == answered["second"]
	})
	windows, differing := calls.Reported()
	assert.Equal(t, len(differing), 0, "windows with two reports: %v", differing)
	assertNoGap(t, windows)
	holders := map[int64]string{}
	for _, call := range calls.Usage() {
		assert.Assert(t, holders[call.Fence] == "" || holders[call.Fence] == call.Holder, "two holders of token %d", call.Fence)
		holders[call.Fence] = call.Holder
	}
	assert.Assert(t, len(holders) >= 2, "only one node reported")
}

// assertNoGap: each window between the first and the last is reported.
func assertNoGap(t *testing.T, windows map[int64]map[string]int64) {
	t.Helper()
	first, last := int64(1)<<62, int64(0)
	for window := range windows {
		first, last = min(first, window), max(last, window)
	}
	for window := first; window <= last; window++ {
		_, found := windows[window]
		assert.Assert(t, found, "window %d of %d..%d is missing", window, first, last)
	}
}

// TestRequestsThatNoEngineBeganAreNotReported: refused ones, and those that the node
// itself refuses; one that fails at an engine and is answered by another counts once.
func TestRequestsThatNoEngineBeganAreNotReported(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	calls := d.takeDuties()
	failing := desk(d, "e1")
	failing.SetFault(func(id string) standin.EngineFault {
		if id == "fails" {
			return standin.Fails
		}
		return standin.Works
	})
	desk(d, "e2").SetFault(func(id string) standin.EngineFault {
		if id == "full" {
			return standin.Full
		}
		return standin.Works
	})
	d.tenants = []tenant{{"first", []string{"key-one"}}}
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	shown := []string{authorization, bearer("key-one")}
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "plain", "", shown...).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "fails", "", shown...).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "full", "", shown...).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/b/x", "nowhere", "", shown...).status, http.StatusNotFound)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "nobody", "", authorization, bearer("key-zero")).status,
		http.StatusUnauthorized)
	sent := time.Now().Unix()
	testwait.Until(t, "the windows are reported", func() bool {
		windows, _ := calls.Reported()
		_, found := windows[sent+2]
		return found
	})
	assert.Equal(t, reportedOf(calls, "first"), int64(3))
}

// TestEnginesThatLeftAreOrderedAgain: also where at first there are none to be had.
func TestEnginesThatLeftAreOrderedAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.scaled = true
	calls := d.takeDuties()
	for i := range 3 {
		d.addModelEngine(fmt.Sprint("e", i), 1, 4, 0)
	}
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	testwait.Until(t, "the node leads", func() bool { return strings.Contains(node.logs.String(), "leadership gained") })
	time.Sleep(time.Second)
	assert.Equal(t, len(calls.Scale()), 0, "what stands was ordered")
	calls.SoldOut(true)
	d.store.UnlistEngine("e0")
	testwait.Until(t, "an order is refused", func() bool { return len(calls.Scale()) > 0 })
	calls.SoldOut(false)
	testwait.Until(t, "the order is taken", func() bool {
		orders := calls.Scale()
		return orders[len(orders)-1].Status == http.StatusOK
	})
	for _, order := range calls.Scale() {
		assert.Equal(t, order.Service, "llm")
		assert.Equal(t, order.Zone, "z1")
		assert.Equal(t, order.Count, 3)
		assert.Equal(t, order.Holder, "n1")
	}
}
