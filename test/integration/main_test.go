// Package integration tests the system's invariants with real processes, daemons and simulated engines and
// platform services, behind fault-injecting proxies. Histories are recorded at callers, trainers and engines
// and checked afterwards.
package integration

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
)

// binaries are built once for all tests.
var binaries topology.Binaries

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "corkpulley-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries, err = topology.BuildBinaries(context.Background(), directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
