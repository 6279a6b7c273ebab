package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	streamService   = "huvo11a"
	streamPrefix    = "/chat271/"
	streamEvents    = 40
	streamEventTime = 40 * time.Millisecond
	streamEngines   = 4
	streamClients   = 30
	streamTime      = 50 * time.Second
	streamDeadline  = 10 * time.Second
	// greyShare is the part of its requests that a grey engine fails with 500 while its health is good, for greyTime in
	// each greyPeriod.
	greyShare  = 0.8
	greyTime   = 10 * time.Second
	greyPeriod = 11 * time.Second
	// One engine at a time crashes for crashTime, one each crashPeriod.
	crashTime   = 3 * time.Second
	crashPeriod = 4 * time.Second
)

// playStreams has clients read resumable streams while engines crash, and one engine fails part of its requests. A
// stream that ends as complete must hold every event once.
func playStreams(d *deployment) error {
	var hosts []*standin.EngineHost
	for i := range streamEngines {
		host, err := d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: streamService, Zone: "tumwater", Slots: 16, CheckFences: true,
			Versions: map[string]int64{model: 1}, EventTime: streamEventTime, LoadTime: 900 * time.Millisecond,
			Events: func(string) int { return streamEvents },
		}, crashTime)
		if err != nil {
			return err
		}
		defer host.Close()
		hosts = append(hosts, host)
	}
	d.zones["tumwater"], d.zones["hillsboro"], d.zones["wenatchee"] = region, region, region
	err := d.configure(7, []map[string]any{{
		"name": "r-chat", "host": routeHost, "pathPrefix": streamPrefix, "routeKind": "streaming", "service": streamService,
		"timeoutMs": 10000, "targetMs": 400, "priority": 1, "maxAttempts": 2, "resumable": true, "sticky": true,
	}}, []map[string]any{{
		"name": streamService, "healthPath": "/healthz", "maxConns": 170,
		"engine": map[string]any{"slots": 16, "kvCapacity": 52385, "models": []map[string]any{{"name": model}}},
	}})
	if err != nil {
		return err
	}
	for zone := range d.zones {
		if err := d.addNode("edge-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(d.ctx, streamTime)
	defer stop()
	var clients sync.WaitGroup
	for client := range streamClients {
		clients.Go(func() { readStreams(ctx, d, client) })
	}
	if d.trouble {
		go strikeStreamEngines(ctx, d, hosts)
	}
	clients.Wait()
	for _, host := range hosts {
		for _, engine := range host.Engines() {
			for _, run := range engine.Runs() {
				d.record.note("engine %s ran %s after event %d, begun at %.3f", engine.ID(), run.ID, run.LastEventID,
					run.At.Sub(d.record.began).Seconds())
			}
		}
	}
	return nil
}

// strikeStreamEngines crashes one of the first three engines for three seconds, again and again, while the last engine
// fails part of its requests with 500.
func strikeStreamEngines(ctx context.Context, d *deployment, hosts []*standin.EngineHost) {
	go failRequests(ctx, d, hosts[len(hosts)-1].Engines()[0])
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(crashPeriod):
		}
		host := hosts[i%(len(hosts)-1)]
		engines := host.Engines()
		d.record.note("engine %s crashes for %s", engines[len(engines)-1].ID(), crashTime)
		host.Crash()
	}
}

// failRequests makes an engine fail part of its requests, again and again.
func failRequests(ctx context.Context, d *deployment, grey *standin.Engine) {
	for ctx.Err() == nil {
		d.record.note("engine %s fails %.0f%% of its requests for %s", grey.ID(), 100*greyShare, greyTime)
		grey.SetFault(func(id string) standin.EngineFault {
			if rand.Float64() >= greyShare {
				return standin.NoFault
			}
			d.record.note("engine %s answers %s with 500", grey.ID(), id)
			return standin.RespondsError
		})
		if !d.sleep(greyTime) {
			return
		}
		grey.SetFault(nil)
		if !d.sleep(greyPeriod - greyTime) {
			return
		}
	}
}

var streamZones = []string{"tumwater", "hillsboro", "wenatchee"}

// readStreams reads one stream after the other.
func readStreams(ctx context.Context, d *deployment, client int) {
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%02d-%04d", client, i)
		n := d.choose(streamZones[client%len(streamZones)], client)
		d.record.note("%s sent to %s", id, n.name)
		status, body, err := callStream(caller, n, id)
		if err != nil {
			d.record.note("%s: status %d, broken off after %d bytes: %v", id, status, len(body), err)
			continue
		}
		problem := ""
		if status == http.StatusOK {
			problem = streamProblem(id, body)
		}
		if problem == "" {
			d.record.note("%s: status %d, complete, %d bytes", id, status, len(body))
			continue
		}
		d.record.violation("%s: status 200, the answer ended as complete, but %s; its last bytes: %q", id, problem,
			body[max(0, len(body)-60):])
	}
}

// callStream sends a request and reads its whole answer. An error means that the answer broke off, so that the client
// knows that it is not complete.
func callStream(caller *http.Client, n *node, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+streamPrefix+id, strings.NewReader("body of "+id))
	if err != nil {
		return 0, "", err
	}
	request.Host = routeHost
	request.Header.Set("X-Corkpulley-Attempt-Id", id)
	request.Header.Set("X-Corkpulley-Deadline-Ms", strconv.FormatInt(streamDeadline.Milliseconds(), 10))
	request.Header.Set("X-Corkpulley-Model", model)
	request.Header.Set("X-Corkpulley-Token-Count", "16,40")
	response, err := caller.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Corkpulley-Server-Stamp") == "" {
		err = errors.New("no signature")
	}
	return response.StatusCode, string(body), err
}

// streamProblem compares the answer with the whole body of the engines; empty if it is that.
func streamProblem(id, body string) string {
	var whole strings.Builder
	for number := 1; number <= streamEvents; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(id, number))
		whole.WriteString(event)
	}
	if body == whole.String() {
		return ""
	}
	events := strings.Count(body, "\n\n")
	return fmt.Sprintf("it holds %d of %d events", events, streamEvents)
}
