package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// downTime is how long the processes are down, answerDelay how long the store takes for an answer; as on the sheets.
	downTime    = 750 * time.Millisecond
	answerDelay = 4 * time.Millisecond
	// uploadPieces and uploadPause pace the upload of a job: its last byte leaves 60 ms after its first.
	uploadPieces = 10
	uploadPause  = 6 * time.Millisecond
	// trainersEach is how many trainers hand a job in at each node; they begin startOffset apart.
	trainersEach = 8
	startOffset  = 35 * time.Millisecond
)

// restartedNode: all processes are killed and start again; trainers hand their next batch jobs in while the nodes start.
func restartedNode(ctx context.Context, d *deployment, trouble bool) verdict {
	if err := d.addModelEngines([]string{streamService, streamService, streamService, streamService}); err != nil {
		return verdict{err: err}
	}
	d.store.SetDelay(answerDelay)
	d.configure(configuration(3, []map[string]any{modelService(streamService)}, []map[string]any{
		rolloutRoute("drafts", "/drafts/", streamService),
	}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	if trouble {
		d.record.logf("all processes are killed, and start again after %v", downTime)
		for _, node := range d.nodes {
			_ = node.command.Process.Signal(syscall.SIGKILL)
		}
		for _, node := range d.nodes {
			<-node.done
		}
	}
	var group sync.WaitGroup
	var jobs []job
	for i, node := range d.nodes {
		if trouble {
			group.Go(func() {
				time.Sleep(downTime)
				if err := d.startNode(node); err != nil {
					d.record.logf("%s does not start: %v", node.name, err)
				}
			})
		}
		for trainer := range trainersEach {
			id := fmt.Sprintf("step1-%d-%d", i, trainer)
			step := job{id: id, step: 1, groups: 56, size: 4, wanted: 50, prefix: "/drafts/", path: "/drafts/" + id}
			jobs = append(jobs, step)
			group.Go(func() {
				time.Sleep(downTime + time.Duration(trainer)*startOffset)
				d.handIn(ctx, i, step)
			})
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return d.checkJobRequests(ctx, jobs)
}

// handIn sends a job to one node after the other, from the given one on, until one answers anything but a refusal. As the
// pages ask, it goes to another node after a refusal, after the time that the refusal names, or after no connection.
func (d *deployment) handIn(ctx context.Context, first int, step job) {
	body := step.encode()
	for attempt := first; ctx.Err() == nil; attempt++ {
		node := d.nodes[attempt%len(d.nodes)]
		pause := retryPause
		connection, err := net.Dial("tcp", node.callers)
		if err == nil {
			var status int
			var retryAfter time.Duration
			status, retryAfter, err = upload(connection, step, body)
			_ = connection.Close()
			d.record.logf("trainer: POST %s at %s (%d bytes): status %d, Retry-After %v, error %v", step.path, node.name, len(body), status, retryAfter, err)
			if err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
				return
			}
			pause = max(pause, retryAfter)
		}
		time.Sleep(pause)
	}
}

// upload sends a job in pieces and returns the status of the answer, and when to come back.
func upload(connection net.Conn, step job, body []byte) (int, time.Duration, error) {
	_ = connection.SetDeadline(time.Now().Add(answerTime))
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", step.path, routeHost, step.id, len(body))
	for rest := body; err == nil && len(rest) > 0; {
		piece := min(len(rest), (len(body)+uploadPieces-1)/uploadPieces)
		_, err = connection.Write(rest[:piece])
		rest = rest[piece:]
		time.Sleep(uploadPause)
	}
	if err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

// checkJobRequests checks UNASKED: engines run the items of a job, never the call that hands the job in.
func (d *deployment) checkJobRequests(ctx context.Context, jobs []job) verdict {
	var v verdict
	for _, step := range jobs {
		for _, engine := range d.engines {
			for _, run := range engine.Runs() {
				if run.ID == step.id {
					v.broken = append(v.broken, fmt.Sprintf("UNASKED: engine %s ran a request with the ID %s of a batch job, "+
						"path %s, and the %d bytes of the job as its body", engine.ID(), run.ID, run.Path, len(run.Body)))
				}
			}
		}
		_, status := d.read(ctx, d.nodes[0], step.id, 0)
		d.record.logf("trainer: GET of job %s at %s: status %d", step.id, d.nodes[0].name, status)
	}
	return v
}
