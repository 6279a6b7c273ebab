// Command corkpulleyd is the corkpulley daemon. It runs as one process per node, with all roles.
//
// Exit codes: 0 after a planned stop, 1 if the daemon failed, 2 if the settings are invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/hosted"
	"github.com/corkpulley/corkpulley/internal/node"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/platform"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	// Durations in logs are whole milliseconds.
	zerolog.DurationFieldInteger = true
	os.Exit(run())
}

func run() int {
	var flags settings.Flags
	arg.MustParse(&flags)
	if flags.File == "" {
		flags.File = platform.SettingsFile()
	}
	loaded, problems := settings.Load(flags)
	if len(problems) > 0 {
		reportProblems(problems)
		return exitSettings
	}
	if flags.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	limitMemory(loaded.Node.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := runNode(ctx, flags, loaded); err != nil {
		fmt.Fprintln(os.Stderr, "corkpulleyd:", err)
		return exitFailed
	}
	return exitOK
}

// limitMemory has the collector run more often from collectorShare of the configured memory on. It bounds the garbage, not
// what is in use.
func limitMemory(memoryMB int) {
	const collectorShare = 0.75
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(memoryMB) * (1 << 20)))
	}
}

// runNode runs the node on the platform if the settings name a hosted log, and standalone otherwise.
func runNode(ctx context.Context, flags settings.Flags, loaded settings.Settings) error {
	if loaded.Hosted.Log == "" {
		return node.Run(ctx, loaded, os.Stderr)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reloads := make(chan settings.Settings)
	go reloadOnHangup(ctx, flags, hangups, reloads)
	return hosted.Run(ctx, loaded, platform.New(loaded.Hosted.Log, loaded.Hosted.Duties), reloads, os.Stdout)
}

// reloadOnHangup reloads the settings on each SIGHUP. Problems of invalid settings are reported, and the current
// settings remain in force.
func reloadOnHangup(
	ctx context.Context, flags settings.Flags, hangups <-chan os.Signal, reloads chan<- settings.Settings,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		reloaded, problems := settings.Load(flags)
		if len(problems) > 0 {
			reportProblems(problems)
			continue
		}
		select {
		case <-ctx.Done():
		case reloads <- reloaded:
		}
	}
}

func reportProblems(problems []settings.Problem) {
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, "corkpulleyd: settings:", problem)
	}
}
