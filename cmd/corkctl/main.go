// Command corkctl is the command line for operators of corkpulley.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/corkpulley/corkpulley/internal/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	streams := ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return int(ctl.Run(ctx, os.Args[1:], streams))
}
