package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	largeBytes  = 1 << 20
	largePieces = 16
	// largeTime is how long a sound engine takes for a large answer; slowFactor is the x of srv_slow.
	largeTime   = 150 * time.Millisecond
	slowFactor  = 4
	largeRounds = 20
	largeUsers  = 6
)

// largeEngine answers each request with a large body, in pieces.
type largeEngine struct {
	id      string
	address string
	server  *http.Server

	mu   sync.Mutex
	slow bool
	// began and whole hold the IDs of the requests that began, and of those whose answer was written to its end.
	began, whole map[string]bool
}

func (e *largeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Corkpulley-Attempt-Id")
	w.Header().Set("X-Corkpulley-Attempt-Id", id)
	if expected := r.Header.Get("X-Corkpulley-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	pause := largeTime / largePieces
	e.mu.Lock()
	e.began[id] = true
	if e.slow {
		pause *= slowFactor
	}
	e.mu.Unlock()
	w.Header().Set("X-Corkpulley-Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(largeBytes))
	piece := bytes.Repeat([]byte("p"), largeBytes/largePieces)
	controller := http.NewResponseController(w)
	for range largePieces {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := w.Write(piece); err != nil || controller.Flush() != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.whole[id] = true
}

func (d *deployment) addLargeEngine(number int, zone string) (*largeEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &largeEngine{
		id: fmt.Sprintf("i-large-%d", number), address: listener.Addr().String(),
		began: make(map[string]bool), whole: make(map[string]bool),
	}
	engine.server = &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	go func() { _ = engine.server.Serve(listener) }()
	d.store.PutEngineEntry(engine.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seqNo":0}`,
		deskService, engine.address, zone))
	return engine, nil
}

// largeAnswer: one of three engines turns slow; clients ask for answers of 1 MiB over connections that they keep.
func largeAnswer(ctx context.Context, d *deployment, trouble bool) verdict {
	var engines []*largeEngine
	for i, zone := range []string{"tumwater", "hillsboro", "wenatchee"} {
		engine, err := d.addLargeEngine(i, zone)
		if err != nil {
			return verdict{err: err}
		}
		defer engine.server.Close()
		engines = append(engines, engine)
	}
	d.configure(configuration(3, []map[string]any{plainService(deskService)}, []map[string]any{
		liveRoute("report", "/report-of/", "safe", deskService, 1500),
	}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	engines[0].mu.Lock()
	engines[0].slow = trouble
	engines[0].mu.Unlock()
	d.record.logf("engine %s is slow by %d: %v", engines[0].id, slowFactor, trouble)
	var mu sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	for user := range largeUsers {
		group.Go(func() {
			node := d.nodes[user%len(d.nodes)]
			var client *keptConnection
			for round := range largeRounds {
				if client == nil {
					connection, err := net.Dial("tcp", node.callers)
					if err != nil {
						continue
					}
					client = &keptConnection{connection: connection, reader: bufio.NewReader(connection)}
				}
				answer := client.sendFor(1500*time.Millisecond, fmt.Sprintf("large-%d-%d", user, round), "/report-of/parcel")
				if !answer.complete || answer.closes {
					_ = client.connection.Close()
					client = nil
				}
				mu.Lock()
				outcomes = append(outcomes, answer)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return d.checkLarge(engines, outcomes)
}

// checkLarge checks LOST for kept connections: more than three requests were passed on to a sound engine, and their
// connections ended without the whole answer, long before the deadline.
func (d *deployment) checkLarge(engines []*largeEngine, outcomes []outcome) verdict {
	cut, complete := 0, 0
	for _, each := range outcomes {
		ran := ""
		for _, engine := range engines {
			engine.mu.Lock()
			if engine.began[each.id] {
				ran += engine.id + " "
			}
			engine.mu.Unlock()
		}
		if each.complete {
			complete++
			continue
		}
		took := each.endedAt.Sub(each.sentAt)
		d.record.logf("%s: run by %s, status %d, ended after %.3f s without the whole answer: %v", each.id, ran, each.status, took.Seconds(), each.err)
		if ran != "" && took < time.Second {
			cut++
		}
	}
	d.record.logf("%d requests, %d with the whole answer, %d cut", len(outcomes), complete, cut)
	var v verdict
	if cut > 3 {
		v.broken = append(v.broken, fmt.Sprintf("LOST: %d requests were passed on to a sound engine, and their connections were closed without the answer", cut))
	}
	return v
}
