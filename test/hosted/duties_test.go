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

// usageWindow and usageDue are short so that a test spans several windows.
const (
	usageWindow = time.Second
	usageDue    = 4 * time.Second
)

// startDutiesService starts the service that receives usage reports and scaling orders.
func (d *deployment) startDutiesService() *standin.Duties {
	d.t.Helper()
	service := standin.NewDuties()
	server := httptest.NewServer(service)
	d.t.Cleanup(server.Close)
	d.duties = strings.TrimPrefix(server.URL, "http://")
	return service
}

// reportedUsage sums a tenant's reported usage over all windows.
func reportedUsage(duties *standin.Duties, tenant string) int64 {
	windows, _ := duties.AcceptedUsage()
	var sum int64
	for _, counts := range windows {
		sum += counts[tenant]
	}
	return sum
}

// Guards against lost or double-counted usage when the leader stops and answers to reports are lost.
func TestUsageIsReportedOnceAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.orderQuiet, d.enginesFence = time.Second, true
	duties := d.startDutiesService()
	addDesk(d, "e1")
	d.tenants = []tenant{{"first", []string{"key-one"}}, {"second", []string{"key-two"}}}
	d.configure(safeRoute("/a/"))
	leader := d.start("n1")
	testwait.Until(t, "the first node to lead", func() bool { return len(duties.Usage()) > 0 })
	other := d.start("n2")
	answered := map[string]int64{}
	send := func(node *testNode, key, tenant string, id int) {
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
			duties.SetDropResponses(true)
		case 20:
			duties.SetDropResponses(false)
		}
		time.Sleep(50 * time.Millisecond)
	}
	leader.cancel()
	<-leader.done
	for i := range 10 {
		send(other, "key-two", "second", 100+i)
	}
	testwait.Until(t, "all usage to be reported", func() bool {
		return reportedUsage(duties, "first") == answered["first"] && reportedUsage(duties, "second") == answered["second"]
	})
	windows, differing := duties.AcceptedUsage()
	assert.Equal(t, len(differing), 0, "windows with two reports: %v", differing)
	assertNoWindowGap(t, windows)
	holders := map[int64]string{}
	for _, call := range duties.Usage() {
		assert.Assert(t, holders[call.Fence] == "" || holders[call.Fence] == call.Holder, "two holders of token %d", call.Fence)
		holders[call.Fence] = call.Holder
	}
	assert.Assert(t, len(holders) >= 2, "only one node reported")
}

// assertNoWindowGap checks that each window between the first and the last is reported.
func assertNoWindowGap(t *testing.T, windows map[int64]map[string]int64) {
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

// Rejected requests do not count; a request that fails at one engine and completes at another counts once.
func TestUsageExcludesRequestsThatNoEngineStarted(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	duties := d.startDutiesService()
	failing := addDesk(d, "e1")
	failing.SetFault(func(id string) standin.EngineFault {
		if id == "fails" {
			return standin.RespondsError
		}
		return standin.NoFault
	})
	addDesk(d, "e2").SetFault(func(id string) standin.EngineFault {
		if id == "full" {
			return standin.RefusesFull
		}
		return standin.NoFault
	})
	d.tenants = []tenant{{"first", []string{"key-one"}}}
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	credentials := []string{authorization, bearer("key-one")}
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "plain", "", credentials...).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "fails", "", credentials...).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "full", "", credentials...).status, http.StatusOK)
	assert.Equal(t, node.call(http.MethodPost, "/b/x", "nowhere", "", credentials...).status, http.StatusNotFound)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "nobody", "", authorization, bearer("key-zero")).status,
		http.StatusUnauthorized)
	sent := time.Now().Unix()
	testwait.Until(t, "the windows to be reported", func() bool {
		windows, _ := duties.AcceptedUsage()
		_, found := windows[sent+2]
		return found
	})
	assert.Equal(t, reportedUsage(duties, "first"), int64(3))
}

// An order that is refused for lack of capacity is repeated.
func TestScalerReplacesLostEngines(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.scalable = true
	duties := d.startDutiesService()
	for i := range 3 {
		d.addModelEngine(fmt.Sprint("e", i), 1, 4, 0)
	}
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	testwait.Until(t, "the node to lead", func() bool { return strings.Contains(node.logs.String(), "leadership gained") })
	time.Sleep(time.Second)
	assert.Equal(t, len(duties.Scale()), 0, "engines were ordered although none is missing")
	duties.SetNoCapacity(true)
	d.store.UnlistEngine("e0")
	testwait.Until(t, "an order to be refused", func() bool { return len(duties.Scale()) > 0 })
	duties.SetNoCapacity(false)
	testwait.Until(t, "the order to be accepted", func() bool {
		orders := duties.Scale()
		return orders[len(orders)-1].Status == http.StatusOK
	})
	for _, order := range duties.Scale() {
		assert.Equal(t, order.Service, "llm")
		assert.Equal(t, order.Zone, "z1")
		assert.Equal(t, order.Count, 3)
		assert.Equal(t, order.Holder, "n1")
	}
}
