package slopes

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/weights"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

func weightSweeps() []sweep {
	return []sweep{
		{
			name: "weight plan against cells", role: RoleWeightCoordinator,
			size: "cells", unit: UnitMicroseconds, sizes: []int{48, 96, 192, 384},
			measure: func(_ context.Context, size int) (float64, error) { return weightPlan(size) },
		},
		{
			name: "weight directives", role: RoleWeightCoordinator,
			size: "directives", unit: UnitMicroseconds, sizes: []int{200, 400, 800, 1600},
			measure: weightDirectives,
		},
	}
}

// weightPlan returns the processor time of one plan in the middle of a change.
func weightPlan(cells int) (float64, error) {
	const plans = 50
	state := make([]weights.Cell, 0, cells)
	for index := range cells {
		state = append(state, weights.Cell{
			ID: hollowDigest(index, 1).Cell, Engines: message.CellSize, AtVersion: index % message.CellSize,
			Loading: index % 3, Granted: index % 3, FloorPercent: 50,
		})
	}
	planner := &weights.Planner{}
	limits := weights.Limits{MaxConcurrent: cells * message.CellSize / 2}
	now := epoch
	return microsecondsEach(plans, func() error {
		now = now.Add(time.Second)
		if plan := planner.Plan(now, state, limits); len(plan.Allotments) == 0 {
			return errors.New("the plan allots nothing")
		}
		return nil
	})
}

// weightDirectives returns the processor time of directives to a real
// dispatcher whose engines hold the version, both sides and the transport.
func weightDirectives(ctx context.Context, directives int) (float64, error) {
	opened, err := openDispatcherPath()
	if err != nil {
		return 0, err
	}
	defer opened.close()
	through, ok := opened.(*dispatcherPath)
	if !ok {
		return 0, errors.New("not a dispatcher path")
	}
	directive := message.Directive{
		Cell: hollowCell, Model: hollowModel, Version: hollowVersion, Epoch: 1, Concurrent: message.CellSize,
	}
	return processorMicroseconds(func() error {
		for range directives {
			var result message.DirectiveResult
			if err := through.caller.Call(ctx, through.address, peer.MethodDirective, directive, &result); err != nil {
				return errors.Wrap(err, "directive")
			}
			if result.AtLeast != message.CellSize {
				return errors.Errorf("%d engines at the version, expected %d", result.AtLeast, message.CellSize)
			}
		}
		return nil
	})
}
