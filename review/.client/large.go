package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	quickService  = "wuno96b"
	slowService   = "tibe52c"
	largePrefix   = "/sheet512/"
	largeEngines  = 3
	largeClients  = 9
	largeTime     = 50 * time.Second
	largeDeadline = 1500 * time.Millisecond
	clientPause   = 100 * time.Millisecond
	// An answer has answerChunks chunks of chunkBytes. The engines of the two services take different times for a chunk, so
	// that a whole answer takes about 0.1 s and 0.5 s.
	answerChunks = 40
	chunkBytes   = 16 << 10
	quickChunk   = 2 * time.Millisecond
	slowChunk    = 12 * time.Millisecond
	// The route moves to the slow service each movePeriod, and back after movedTime.
	movePeriod = 9 * time.Second
	movedTime  = 2200 * time.Millisecond
	// configWindow is how long after its acknowledgement a configuration counts as planned work, from when it was sent.
	configWindow = 3 * time.Second
	// A cut counts if it happens over cutRatio times as often as at other times, and before usedShare of the request's time.
	cutRatio  = 3
	usedShare = 0.7
)

// largeEngine answers each request with a large body that has a length.
type largeEngine struct {
	id        string
	chunkTime time.Duration

	mu sync.Mutex
	// whole tells for each request that ran whether the engine could send its whole answer.
	whole map[string]bool
}

func serveLargeEngine(d *deployment, id, service string, chunkTime time.Duration) (*largeEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &largeEngine{id: id, chunkTime: chunkTime, whole: make(map[string]bool)}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.onClose(func() { _ = server.Close() })
	d.store.PutEngineEntry(id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"tumwater","version":"v1","slots":16,"state":%q,"coldLeftMs":0,"seqNo":1}`,
		service, listener.Addr(), standin.StateReady))
	return e, nil
}

// answerChunk is a chunk of the answer to a request.
func answerChunk(id string) []byte {
	return []byte(strings.Repeat(id+" ", chunkBytes/(len(id)+1)+1)[:chunkBytes])
}

// ServeHTTP implements http.Handler.
func (e *largeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Corkpulley-Attempt-Id")
	w.Header().Set("X-Corkpulley-Attempt-Id", id)
	if expected := r.Header.Get("X-Corkpulley-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.note(id, false)
	w.Header().Set("X-Corkpulley-Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(answerChunks*chunkBytes))
	chunk, controller := answerChunk(id), http.NewResponseController(w)
	for range answerChunks {
		time.Sleep(e.chunkTime)
		if _, err := w.Write(chunk); err != nil || controller.Flush() != nil {
			return
		}
	}
	e.note(id, true)
}

func (e *largeEngine) note(id string, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.whole[id] = e.whole[id] || whole
}

func (e *largeEngine) ran(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.whole[id]
	return found
}

// window is a time in which a configuration counts as planned work.
type window struct{ from, until time.Time }

// largeCall is a request and how it ended.
type largeCall struct {
	id    string
	node  *node
	sent  time.Time
	ended time.Time
	// cut is true if the connection ended without a complete answer.
	cut bool
	err error
}

// playLarge has clients read large answers on kept connections, while the operator moves their route to a slower
// service and back. No node may cut requests around these changes more often than at other times.
func playLarge(d *deployment) error {
	var engines []*largeEngine
	for i := range largeEngines {
		for service, chunkTime := range map[string]time.Duration{quickService: quickChunk, slowService: slowChunk} {
			engine, err := serveLargeEngine(d, fmt.Sprintf("i-%s-%d", service, i), service, chunkTime)
			if err != nil {
				return err
			}
			engines = append(engines, engine)
		}
	}
	version := 7
	configure := func(service string) (window, error) {
		sent := time.Now()
		err := d.configure(version, []map[string]any{{
			"name": "r-sheet", "host": routeHost, "pathPrefix": largePrefix, "routeKind": "safe", "service": service,
			"timeoutMs": 1500, "targetMs": 150, "priority": 2, "maxAttempts": 2,
		}}, []map[string]any{
			{"name": quickService, "healthPath": "/healthz", "maxConns": 100},
			{"name": slowService, "healthPath": "/healthz", "maxConns": 100},
		})
		version += 2
		return window{sent, time.Now().Add(configWindow)}, err
	}
	if _, err := configure(quickService); err != nil {
		return err
	}
	d.zones["tumwater"] = region
	for i := range 3 {
		if err := d.addNode(fmt.Sprintf("edge-tumwater-%d", i+1), "tumwater"); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(d.ctx, largeTime)
	defer stop()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var calls []largeCall
	for client := range largeClients {
		clients.Go(func() {
			made := readLarge(ctx, d, client)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, made...)
		})
	}
	var windows []window
	for d.trouble && ctx.Err() == nil {
		for _, move := range []struct {
			after   time.Duration
			service string
		}{{movePeriod - movedTime, slowService}, {movedTime, quickService}} {
			time.Sleep(move.after)
			planned, err := configure(move.service)
			if err != nil {
				return err
			}
			windows = append(windows, planned)
		}
	}
	clients.Wait()
	checkLarge(d, engines, calls, windows)
	return nil
}

// readLarge sends one request after the other on a kept connection.
func readLarge(ctx context.Context, d *deployment, client int) []largeCall {
	caller := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var calls []largeCall
	for i := 0; ctx.Err() == nil; i++ {
		call := largeCall{id: fmt.Sprintf("c%02d-%04d", client, i), node: d.choose("tumwater", client), sent: time.Now()}
		status, size, err := callLarge(caller, call.node, call.id)
		call.ended, call.cut, call.err = time.Now(), err != nil, err
		d.record.note("%s sent to %s at %.3f: status %d, %d bytes, %v", call.id, call.node.name,
			call.sent.Sub(d.record.began).Seconds(), status, size, err)
		calls = append(calls, call)
		time.Sleep(clientPause)
	}
	return calls
}

// callLarge sends a request and reads its whole answer.
func callLarge(caller *http.Client, n *node, id string) (status, size int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), largeDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+largePrefix+id, strings.NewReader("body of "+id))
	if err != nil {
		return 0, 0, err
	}
	request.Host = routeHost
	request.Header.Set("X-Corkpulley-Attempt-Id", id)
	request.Header.Set("X-Corkpulley-Deadline-Ms", strconv.FormatInt(largeDeadline.Milliseconds(), 10))
	response, err := caller.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(body) != strings.Repeat(string(answerChunk(id)), answerChunks) {
		err = fmt.Errorf("the body of %d bytes is not the engine's", len(body))
	}
	return response.StatusCode, len(body), err
}

// cutRate counts the requests and the cut ones of a machine.
type cutRate struct{ requests, cuts int }

func (r cutRate) share() float64 { return float64(r.cuts) / float64(max(1, r.requests)) }

// checkLarge applies the rule: a request that was passed on to an engine and ended without a complete answer counts if it
// was cut around a configuration, where its node cuts requests over three times as often as at other times.
func checkLarge(d *deployment, engines []*largeEngine, calls []largeCall, windows []window) {
	inWindow := func(at time.Time) bool {
		for _, each := range windows {
			if !at.Before(each.from) && !at.After(each.until) {
				return true
			}
		}
		return false
	}
	around, otherwise := make(map[*node]cutRate), make(map[*node]cutRate)
	for _, call := range calls {
		rates := otherwise
		if inWindow(call.ended) {
			rates = around
		}
		rate := rates[call.node]
		rate.requests++
		if call.cut {
			rate.cuts++
		}
		rates[call.node] = rate
	}
	for _, n := range d.nodes {
		d.record.note("%s cut %d of %d requests around configurations, %d of %d at other times", n.name,
			around[n].cuts, around[n].requests, otherwise[n].cuts, otherwise[n].requests)
	}
	for _, call := range calls {
		passedOn := ""
		for _, engine := range engines {
			if engine.ran(call.id) {
				passedOn += " " + engine.id
			}
		}
		used := float64(call.ended.Sub(call.sent)) / float64(largeDeadline)
		often := around[call.node].share() > cutRatio*otherwise[call.node].share()
		if !call.cut || passedOn == "" || used >= usedShare || !inWindow(call.ended) || !often {
			continue
		}
		d.record.violation("%s, passed on to%s, was cut %.3f s after it was sent to %s, with %.0f%% of its time used: %v",
			call.id, passedOn, call.ended.Sub(call.sent).Seconds(), call.node.name, 100*used, call.err)
	}
}
