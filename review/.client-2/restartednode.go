package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// connectPause is the pause after a connection that was refused.
	connectPause = 2 * time.Millisecond
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
			id := fmt.Sprintf("step7-%d-%d", i, trainer)
			step := job{id: id, step: 7, groups: 56, size: 4, wanted: 50, prefix: "/drafts/", path: "/drafts/" + id}
			jobs = append(jobs, step)
			group.Go(func() {
				time.Sleep(downTime + time.Duration(trainer)*startOffset)
				d.handIn(ctx, node, step)
			})
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return d.checkJobRequests(ctx, jobs)
}

// handIn sends a job to a node as soon as that accepts a connection, until the node answers anything but a refusal.
func (d *deployment) handIn(ctx context.Context, node *nodeProcess, step job) {
	body := step.encode()
	for ctx.Err() == nil {
		connection, err := net.Dial("tcp", node.callers)
		if err != nil {
			time.Sleep(connectPause)
			continue
		}
		status, err := upload(connection, step, body)
		_ = connection.Close()
		d.record.logf("trainer: POST %s at %s (%d bytes): status %d, error %v", step.path, node.name, len(body), status, err)
		if err == nil && status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(retryPause)
	}
}

// upload sends a job in pieces and returns the status of the answer.
func upload(connection net.Conn, step job, body []byte) (int, error) {
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
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
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
