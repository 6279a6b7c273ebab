// Package soak plays a short fault soak with a fixed seed in every run of the
// tests. Longer ones, and the seeds that ever failed, are played by corkbench.
package soak

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/soak"
)

// TestShortSoak plays some faults at real nodes. The bounds are wide: the machine
// runs other tests beside it.
func TestShortSoak(t *testing.T) {
	var output bytes.Buffer
	arguments := &soak.Arguments{
		Seed: 4, Minutes: 0.35, Nodes: 3, Slack: 6, EnginesFence: soak.Yes, Schedule: soak.GeneralFaults,
	}
	if err := soak.Run(t.Context(), arguments, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}

// TestShortSoakOfTheLeader plays faults of the leader in series at nodes whose engines do
// not check fencing tokens: nothing but the lease keeps two nodes from ordering.
func TestShortSoakOfTheLeader(t *testing.T) {
	var output bytes.Buffer
	arguments := &soak.Arguments{
		Seed: 732217, Minutes: 0.34, Nodes: 4, Slack: 6, EnginesFence: soak.No, Schedule: soak.LeaderFaults,
	}
	if err := soak.Run(t.Context(), arguments, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}

// TestShortSoakOfPlacement plays changes of what may be sent a request: engines that start
// again under their ID, entries that name no engine, evacuations, cold engines, homes.
func TestShortSoakOfPlacement(t *testing.T) {
	var output bytes.Buffer
	arguments := &soak.Arguments{
		Seed: 5, Minutes: 0.4, Nodes: 4, Slack: 6, EnginesFence: soak.No, Schedule: soak.PlacementFaults,
	}
	if err := soak.Run(t.Context(), arguments, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}

func TestKeptSeedsAreDescribed(t *testing.T) {
	kept, err := soak.ReadSeeds("seeds.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(kept) > 0)
}
