// Command corkpulleyd is the corkpulley daemon: one process per node, playing every role.
//
// Exit codes: 0 after a planned stop, 1 when the daemon failed, 2 when the
// settings are wrong.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/corkpulley/corkpulley/internal/node"
	"github.com/corkpulley/corkpulley/internal/settings"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	var flags settings.Flags
	arg.MustParse(&flags)
	loaded, problems := settings.Load(flags)
	if len(problems) > 0 {
		reportProblems(problems)
		return exitSettings
	}
	if flags.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := node.Run(ctx, loaded, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "corkpulleyd:", err)
		return exitFailed
	}
	return exitOK
}

func reportProblems(problems []settings.Problem) {
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, "corkpulleyd: settings:", problem)
	}
}
