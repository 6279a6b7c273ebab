//go:build linux

// Package clients tests daemons, as processes of their own, against crowds of clients that misbehave. Each test lowers
// the daemon's limits so that a small crowd suffices, and checks that the process lives, that its memory and descriptors
// stay within its limits, and that an ordinary request is answered.
package clients

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
)

// daemonPath is the daemon, built without the race detector, whose runtime multiplies memory.
var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "corkpulley-clients-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries, err := topology.BuildBinaries(context.Background(), directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	daemonPath = binaries.Daemon
	return m.Run()
}
