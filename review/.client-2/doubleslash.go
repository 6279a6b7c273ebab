package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const pathRequests = 20

// doubleSlash: clients send paths that begin with two slashes, on a host whose route has the prefix "/".
func doubleSlash(ctx context.Context, d *deployment, trouble bool) verdict {
	for i, zone := range []string{"tumwater", "hillsboro", "wenatchee"} {
		_, err := d.addEngine(standin.EngineOptions{
			ID: fmt.Sprintf("i-desk-%d", i), Service: deskService, Zone: zone, Slots: 6, PlainTime: 25 * time.Millisecond,
		})
		if err != nil {
			return verdict{err: err}
		}
	}
	d.configure(configuration(3, []map[string]any{plainService(deskService)}, []map[string]any{
		liveRoute("all", "/", "safe", deskService, 1500),
	}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	slashes := "/"
	if trouble {
		slashes = "//"
	}
	sent := make(map[string]string)
	for i := range pathRequests {
		node := d.nodes[i%len(d.nodes)]
		connection, err := net.Dial("tcp", node.callers)
		if err != nil {
			return verdict{err: err}
		}
		client := &keptConnection{connection: connection, reader: bufio.NewReader(connection)}
		id, path := fmt.Sprintf("path-%d", i), slashes+"parcels/"+fmt.Sprint(i)
		answer := client.send(id, path)
		_ = connection.Close()
		sent[id] = path
		d.record.logf("%s: POST %s at %s: status %d, error %v", id, path, node.name, answer.status, answer.err)
	}
	var v verdict
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			target := engine.target(run.ID)
			d.record.logf("engine %s ran %s: its request line named %q, which is path %q at host %q",
				engine.ID(), run.ID, target, run.Path, run.Host)
			if target != sent[run.ID] {
				v.broken = append(v.broken, fmt.Sprintf("UNASKED: %s was sent with host %s, path %s, and run with host %s, path %s",
					run.ID, routeHost, sent[run.ID], run.Host, run.Path))
			}
		}
	}
	return v
}
