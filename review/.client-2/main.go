package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	maxCaseTime  = 110 * time.Second
	readyTimeout = 20 * time.Second
)

// verdict is the result of a case: the violations of its rule, or why it couldn't run.
type verdict struct {
	broken []string
	err    error
}

// scenario runs one case. trouble is false for the run without the disruption.
type scenario func(ctx context.Context, d *deployment, trouble bool) verdict

var scenarios = map[string]scenario{
	"large-answer":   largeAnswer,
	"moved-route":    movedRoute,
	"split-route":    splitRoute,
	"stopped-node":   stoppedNode,
	"double-slash":   doubleSlash,
	"restarted-node": restartedNode,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("daemon", "target/corkpulleyd", "the daemon")
	logs := flag.String("logs", "", "folder for the nodes' logs; empty for none")
	flag.Parse()
	os.Exit(run(*name, *out, *binary, *logs))
}

func run(name, out, binary, logs string) int {
	play, known := scenarios[name]
	file, err := os.Create(out)
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "client-2: unknown case or record:", name, err)
		return exitCannot
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, with the disruption: %v", name, trouble)
	d, err := newDeployment(r, binary)
	if err != nil {
		r.logf("could not run: %v", err)
		return exitCannot
	}
	defer d.close()
	v := play(ctx, d, trouble)
	d.keepLogs(logs)
	switch {
	case v.err != nil:
		r.logf("could not run: %v", v.err)
		return exitCannot
	case len(v.broken) > 0:
		for _, line := range v.broken {
			r.logf("BROKEN: %s", line)
		}
		return exitBroken
	default:
		r.logf("held")
		return exitHeld
	}
}

// startNodes starts a node in each zone and waits until all are ready.
func (d *deployment) startNodes(ctx context.Context) error {
	for _, zone := range []string{"tumwater", "hillsboro", "wenatchee"} {
		if _, err := d.addNode(zone, d.address); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return d.awaitReady(ready)
}
