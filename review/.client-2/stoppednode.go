package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	deskService   = "desk"
	streamService = "llm"
	deskWork      = 600 * time.Millisecond
	streamEvents  = 240
	keptClients   = 60
	// firstPause is the time between the first requests of two clients.
	firstPause = 45 * time.Millisecond
	// firstSend and lastSend bound when the clients use their kept connections again, after the SIGTERM.
	firstSend = 3200 * time.Millisecond
	lastSend  = 8 * time.Second
	// answerTime is how long a client waits for an answer.
	answerTime = 4 * time.Second
)

// keptConnection is a client that keeps its connection for many requests.
type keptConnection struct {
	connection net.Conn
	reader     *bufio.Reader
}

// outcome is what the client saw of one request.
type outcome struct {
	id string
	// written is true if the whole request was handed to the connection.
	written bool
	// complete is true if a complete answer arrived, status its status.
	complete bool
	status   int
	sentAt   time.Time
	endedAt  time.Time
	err      error
	// closes is true if the answer said that the node closes the connection.
	closes bool
}

func (k *keptConnection) send(id, path string) outcome { return k.sendFor(answerTime, id, path) }

// sendFor sends a request whose client waits for an answer for the given time.
func (k *keptConnection) sendFor(wait time.Duration, id, path string) outcome {
	result := outcome{id: id, sentAt: time.Now()}
	_ = k.connection.SetDeadline(time.Now().Add(wait))
	body := "request " + id
	_, result.err = fmt.Fprintf(k.connection,
		"POST %s HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: %s\r\nX-Corkpulley-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, routeHost, id, wait.Milliseconds(), len(body), body)
	result.written = result.err == nil
	if result.written {
		var response *http.Response
		if response, result.err = http.ReadResponse(k.reader, nil); result.err == nil {
			result.status, result.closes = response.StatusCode, response.Close
			_, result.err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	result.complete, result.endedAt = result.err == nil, time.Now()
	return result
}

// stoppedNode: a node gets SIGTERM while it passes a stream on; clients go on using the connections that they keep to it.
func stoppedNode(ctx context.Context, d *deployment, trouble bool) verdict {
	if err := d.addStopEngines(); err != nil {
		return verdict{err: err}
	}
	d.configure(configuration(3, []map[string]any{plainService(deskService), modelService(streamService)}, []map[string]any{
		liveRoute("issue", "/issue/", "unsafe", deskService, 4000),
		liveRoute("chat", "/chat/", "streaming", streamService, 15000),
	}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	node := d.nodes[0]
	clients, err := d.keepConnections(node)
	if err != nil {
		return verdict{err: err}
	}
	streamed := make(chan int, 1)
	go func() { streamed <- d.stream(ctx, node) }()
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		d.record.logf("operator: SIGTERM to %s", node.name)
		if err := node.command.Process.Signal(syscall.SIGTERM); err != nil {
			return verdict{err: err}
		}
		// The platform kills a process that is there after the grace period.
		kill := time.AfterFunc(graceSeconds*time.Second, func() { _ = node.command.Process.Kill() })
		defer kill.Stop()
	}
	outcomes := d.useAgain(clients, stopped)
	if trouble {
		<-node.done
		d.record.logf("%s has exited %.3f s after the SIGTERM", node.name, time.Since(stopped).Seconds())
	}
	d.record.logf("the stream had %d events", <-streamed)
	return d.checkAnswers(outcomes, stopped)
}

func (d *deployment) addStopEngines() error {
	zones := []string{"tumwater", "hillsboro", "wenatchee"}
	for i, zone := range zones {
		_, err := d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-desk-%d", i), Service: deskService, Zone: zone, Slots: 6, PlainTime: deskWork,
		})
		if err != nil {
			return err
		}
		_, err = d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-llm-%d", i), Service: streamService, Zone: zone, Slots: engineSlots, EventTime: eventTime,
			Versions: map[string]int64{modelName: 1}, Events: func(string) int { return streamEvents },
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// keepConnections opens the connections and has one request answered on each.
func (d *deployment) keepConnections(node *nodeProcess) ([]*keptConnection, error) {
	clients := make([]*keptConnection, keptClients)
	failures := make([]error, keptClients)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * firstPause)
			connection, err := net.Dial("tcp", node.callers)
			if err != nil {
				failures[i] = err
				return
			}
			clients[i] = &keptConnection{connection: connection, reader: bufio.NewReader(connection)}
			if first := clients[i].send(fmt.Sprintf("first-%d", i), "/issue/permit"); !first.complete || first.status != http.StatusOK {
				failures[i] = fmt.Errorf("first request: status %d, error %w", first.status, first.err)
			}
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	d.record.logf("%d clients keep a connection each to %s, each answered once", keptClients, node.name)
	return clients, nil
}

// stream reads a stream through a node and returns the number of its events.
func (d *deployment) stream(ctx context.Context, node *nodeProcess) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.callers+"/chat/1", strings.NewReader("?"))
	if err != nil {
		return 0
	}
	request.Host = routeHost
	request.Header.Set("X-Corkpulley-Attempt-Id", "stream-1")
	request.Header.Set("X-Corkpulley-Deadline-Ms", "15000")
	request.Header.Set("X-Corkpulley-Model", modelName)
	request.Header.Set("X-Corkpulley-Token-Count", "1016,13920")
	request.Header.Set("X-Corkpulley-Prompt-Prefix", "1:1000,2:16")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	events := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return events
}

// useAgain has each client use its kept connection once more, one after the other.
func (d *deployment) useAgain(clients []*keptConnection, stopped time.Time) []outcome {
	outcomes := make([]outcome, len(clients))
	pause := (lastSend - firstSend) / time.Duration(len(clients)-1)
	var group sync.WaitGroup
	for i, client := range clients {
		group.Go(func() {
			time.Sleep(time.Until(stopped.Add(firstSend + time.Duration(i)*pause)))
			outcomes[i] = client.send(fmt.Sprintf("again-%d", i), "/issue/permit")
			_ = client.connection.Close()
		})
	}
	group.Wait()
	return outcomes
}

// checkAnswers checks LOST around a SIGTERM: a request that the node passed on to an engine gets its complete answer.
// All requests are sent later than 3 s after the SIGTERM, so that an engine still at work is no excuse.
func (d *deployment) checkAnswers(outcomes []outcome, stopped time.Time) verdict {
	ran := make(map[string]string)
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			ran[run.ID] = engine.ID()
		}
	}
	var v verdict
	for _, each := range outcomes {
		d.record.logf("%s: sent %.3f s after the signal (whole: %v), run by %q, ended %.3f s after it, complete answer: %v, status %d, error %v",
			each.id, each.sentAt.Sub(stopped).Seconds(), each.written, ran[each.id], each.endedAt.Sub(stopped).Seconds(),
			each.complete, each.status, each.err)
		if each.written && ran[each.id] != "" && !each.complete && each.endedAt.Before(stopped.Add((graceSeconds+1)*time.Second)) {
			v.broken = append(v.broken, fmt.Sprintf("LOST: %s was passed on to %s, and its connection ended with no complete answer",
				each.id, ran[each.id]))
		}
	}
	return v
}
