// Package soak runs short fault soaks with fixed seeds. Longer soaks, and all seeds that ever failed, are run by
// "corkbench soak".
package soak

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/soak"
)

// Slack widens the time bounds, since other tests run on the same machine.
func TestShortSoak(t *testing.T) {
	var output bytes.Buffer
	arguments := &soak.Arguments{
		Seed: 4, Minutes: 0.35, Nodes: 3, Slack: 6, EnginesFence: soak.EnginesFenceYes, Schedule: soak.GeneralFaults,
	}
	if err := soak.Run(t.Context(), arguments, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}

// Engines do not check fencing tokens, so that only the lease prevents orders from two nodes.
func TestShortSoakLeaderFaults(t *testing.T) {
	var output bytes.Buffer
	arguments := &soak.Arguments{
		Seed: 732217, Minutes: 0.34, Nodes: 4, Slack: 6, EnginesFence: soak.EnginesFenceNo, Schedule: soak.LeaderFaults,
	}
	if err := soak.Run(t.Context(), arguments, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}

// Covers changes of where a request may run: restarted engines, invalid entries, evacuations, cold engines and
// home regions.
func TestShortSoakPlacementFaults(t *testing.T) {
	var output bytes.Buffer
	arguments := &soak.Arguments{
		Seed: 5, Minutes: 0.4, Nodes: 4, Slack: 6, EnginesFence: soak.EnginesFenceNo, Schedule: soak.PlacementFaults,
	}
	if err := soak.Run(t.Context(), arguments, &output); err != nil {
		t.Fatalf("%v\n%s", err, output.String())
	}
}

func TestSeedFileIsValid(t *testing.T) {
	seeds, err := soak.ReadSeeds("seeds.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(seeds) > 0)
}
