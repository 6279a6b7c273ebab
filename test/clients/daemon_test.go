//go:build linux

package clients

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/process"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	callerHost = "desk.example"
	model      = "m0"
	// smallMemoryMB is the memory of the daemon in tests of memory.
	smallMemoryMB = 96
	engineSlots   = 4000
	// plentyOfDescriptors is the descriptor limit in tests of memory.
	plentyOfDescriptors = 4000
)

// limits are the limits of a daemon under test.
type limits struct {
	memoryMB    int
	descriptors int
	// maxBodyBytes and headerTimeoutMs are the configuration's limits for callers.
	maxBodyBytes    int
	headerTimeoutMs int
	// responseTime is how long engines take to respond.
	responseTime time.Duration
}

func smallMemory() limits {
	return limits{
		memoryMB: smallMemoryMB, descriptors: plentyOfDescriptors, maxBodyBytes: 32 << 20, headerTimeoutMs: 3000,
	}
}

// daemon is a corkpulleyd process under test.
type daemon struct {
	t                         *testing.T
	process                   *process.Process
	limits                    limits
	callers, operators, peers string
}

// within returns the daemon for use in a subtest.
func (d *daemon) within(t *testing.T) *daemon {
	inner := *d
	inner.t = t
	return &inner
}

// startHosted starts a daemon on a simulated platform with one engine and waits until it is ready.
func startHosted(t *testing.T, limits limits) *daemon {
	t.Helper()
	d := start(t, limits, fmt.Sprintf("[hosted]\nlog = %q\n", startPlatform(t, limits)))
	testwait.Until(t, "the daemon to be ready", func() bool {
		response, err := http.Get("http://" + d.operators + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return d
}

// startStandalone starts a daemon of the project's own deployment whose platform is out of reach. It serves its
// listeners and refuses live requests.
func startStandalone(t *testing.T, limits limits) *daemon {
	t.Helper()
	nowhere := "http://" + freeAddress(t)
	d := start(t, limits, fmt.Sprintf(
		"[platform]\nlog = %q\nweight_store = %q\nmachines = %q\nscorer = %q\n", nowhere, nowhere, nowhere, nowhere))
	testwait.Until(t, "the daemon to listen", func() bool {
		connection, err := net.Dial("tcp", d.callers)
		if err != nil {
			return false
		}
		return connection.Close() == nil
	})
	return d
}

func start(t *testing.T, limits limits, platformSettings string) *daemon {
	t.Helper()
	d := &daemon{
		t: t, limits: limits, callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t),
	}
	text := fmt.Sprintf(
		"[node]\nid = \"n1\"\nzone = \"z1\"\nregion = \"r1\"\nmemory_mb = %d\n"+
			"[listen]\ncallers = %q\noperators = %q\npeers = %q\n[shutdown]\ngrace = \"3s\"\n%s",
		limits.memoryMB, d.callers, d.operators, d.peers, platformSettings)
	file := filepath.Join(t.TempDir(), "corkpulleyd.toml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	var err error
	d.process, err = process.Start(process.Spec{
		Name: "corkpulleyd", Path: "/bin/sh",
		Arguments: []string{
			"-c", `ulimit -n "$1"; exec "$2" --settings "$3"`, "sh", fmt.Sprint(limits.descriptors), daemonPath, file,
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		d.process.Kill()
		if t.Failed() {
			lines := d.process.Logs()
			t.Logf("last lines:\n%s", strings.Join(lines[max(0, len(lines)-20):], "\n"))
		}
	})
	return d
}

// startPlatform starts the platform's log with a configuration, and one engine for live requests and one for batch items.
func startPlatform(t *testing.T, limits limits) (address string) {
	t.Helper()
	storeLimits := standin.DefaultLimits()
	storeLimits.AppendTime = 0
	store := standin.NewStore(storeLimits)
	addEngine(t, store, standin.EngineOptions{ID: "e1", Service: "desk", PlainTime: limits.responseTime})
	addEngine(t, store, standin.EngineOptions{ID: "e2", Service: "llm", Versions: map[string]int64{model: 1}})
	configuration, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{
				"name": "lookup", "host": callerHost, "pathPrefix": "/lookup/", "routeKind": "safe", "service": "desk",
				"timeoutMs": 20000, "targetMs": 150 + 2*limits.responseTime.Milliseconds(), "maxAttempts": 2,
			},
			{
				"name": "batch", "host": callerHost, "pathPrefix": "/batch/", "routeKind": "rollout", "service": "llm",
				"timeoutMs": 10000, "targetMs": 400, "maxAttempts": 2, "queueTtlS": 60, "resumable": true,
			},
		},
		"services": []map[string]any{
			{"name": "desk", "maxConns": engineSlots},
			{"name": "llm", "maxConns": engineSlots, "engine": map[string]any{"models": []map[string]any{{"name": model}}}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": limits.maxBodyBytes,
			"headerTimeoutMs": limits.headerTimeoutMs, "idleTimeoutMs": 15000,
		},
	})
	assert.NilError(t, err)
	store.Log.Put("keyed.op", "config", configuration)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func addEngine(t *testing.T, store *standin.Store, options standin.EngineOptions) {
	t.Helper()
	// Engines have room for a whole crowd.
	options.Slots, options.Zone = engineSlots, "z1"
	options.Events = func(string) int { return 2 }
	engine := standin.NewEngine(options)
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	store.ListEngine(engine, strings.TrimPrefix(server.URL, "http://"), false)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := process.FreeAddress()
	assert.NilError(t, err)
	return address
}

// usage is what a process holds. Memory is the largest resident memory that it had; unread are the bytes that have
// arrived for it and that it has not read. Both are in bytes.
type usage struct{ memory, unread, descriptors int }

// isAbout reports whether the usage is another one, but for what a process at rest takes in addition.
func (u usage) isAbout(other usage) bool {
	const megabyte = 1 << 20
	return u.memory/megabyte == other.memory/megabyte && u.unread == other.unread && u.descriptors == other.descriptors
}

// checkWithinLimits checks that the process lives and that its memory and its descriptors are within its limits, once it
// has handled what has arrived.
func (d *daemon) checkWithinLimits() {
	d.t.Helper()
	used := d.awaitSteadyUsage()
	d.t.Logf("peak memory %d MB, unread %d KB, %d descriptors", used.memory>>20, used.unread>>10, used.descriptors)
	assert.Check(d.t, used.memory+used.unread <= d.limits.memoryMB<<20, "memory %d MB", (used.memory+used.unread)>>20)
	assert.Check(d.t, used.descriptors < d.limits.descriptors, "%d descriptors", used.descriptors)
}

// awaitSteadyUsage returns the usage once it has not changed for a while, and checks on the way that the bytes held for
// the process are within its limit.
func (d *daemon) awaitSteadyUsage() usage {
	d.t.Helper()
	const steadyFor = 300 * time.Millisecond
	var last usage
	var since time.Time
	testwait.Until(d.t, "a steady usage", func() bool {
		select {
		case <-d.process.Exited():
			d.t.Fatal("the daemon has ended")
		default:
		}
		now := usage{d.peakMemory(), d.unreadBytes(), d.descriptors()}
		if !now.isAbout(last) {
			since = time.Now()
		}
		last = now
		return time.Since(since) >= steadyFor || now.memory+now.unread > d.limits.memoryMB<<20
	})
	return last
}

// peakMemory returns the largest resident memory that the process had, in bytes.
func (d *daemon) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.ID()))
	assert.NilError(d.t, err)
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(d.t, err)
			return kilobytes << 10
		}
	}
	d.t.Fatal("the process has no peak memory")
	return 0
}

func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.ID()))
	assert.NilError(d.t, err)
	return len(entries)
}

// unreadBytes returns the bytes that have arrived at the daemon's listeners and that it has not read.
func (d *daemon) unreadBytes() int {
	ports := make(map[string]bool)
	for _, address := range []string{d.callers, d.operators, d.peers} {
		_, port, err := net.SplitHostPort(address)
		assert.NilError(d.t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(d.t, err)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(d.t, err)
	total := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const stateListen = "0A"
		if len(fields) < 5 || fields[3] == stateListen {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, received, _ := strings.Cut(fields[4], ":")
		if size, err := strconv.ParseInt(received, 16, 64); err == nil && ports[port] {
			total += int(size)
		}
	}
	return total
}

// checkServesCaller checks that an ordinary request is answered with success, at the latest when a caller has sent it
// several times, each time on a new connection.
func (d *daemon) checkServesCaller() {
	d.t.Helper()
	number := 0
	testwait.Until(d.t, "an ordinary request to be answered", func() bool {
		number++
		return d.call(http.MethodPost, "/lookup/x", fmt.Sprintf("ordinary%d", number), "a parcel") == http.StatusOK
	})
}

// call sends a request on a new connection and returns the status; zero without an answer.
func (d *daemon) call(method, path, id, body string) int {
	request, err := http.NewRequest(method, "http://"+d.callers+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	request.Host = callerHost
	request.Header.Set("X-Corkpulley-Attempt-Id", id)
	return statusOf(request)
}

// statusOf sends a request on a new connection and returns the status; zero without an answer.
func statusOf(request *http.Request) int {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
