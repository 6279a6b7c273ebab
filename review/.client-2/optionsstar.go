package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// optionsStar: a client sends OPTIONS *, which no route matches.
func optionsStar(ctx context.Context, d *deployment, trouble bool) verdict {
	_, err := d.addEngine(standin.EngineOptions{
		ID: "i-desk-0", Service: deskService, Zone: "tumwater", Slots: 6, PlainTime: 25 * time.Millisecond,
	})
	if err != nil {
		return verdict{err: err}
	}
	d.configure(configuration(3, []map[string]any{plainService(deskService)}, []map[string]any{
		liveRoute("desk", "/desk/", "safe", deskService, 1500),
	}))
	if err := d.startNodes(ctx); err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	target := "/none"
	if trouble {
		target = "*"
	}
	var v verdict
	for i, node := range d.nodes {
		connection, err := net.Dial("tcp", node.callers)
		if err != nil {
			return verdict{err: err}
		}
		_ = connection.SetDeadline(time.Now().Add(answerTime))
		_, _ = fmt.Fprintf(connection, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: options-%d\r\n\r\n", target, routeHost, i)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		_ = connection.Close()
		if err != nil {
			return verdict{err: err}
		}
		stamp := response.Header.Get("X-Corkpulley-Server-Stamp")
		d.record.logf("OPTIONS %s at %s: status %d, stamp %q", target, node.name, response.StatusCode, stamp)
		if response.StatusCode/100 == 2 && stamp == "" {
			v.broken = append(v.broken, fmt.Sprintf("MIXED: OPTIONS %s was answered %d without a stamp", target, response.StatusCode))
		}
	}
	return v
}
