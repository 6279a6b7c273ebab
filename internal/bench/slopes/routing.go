package slopes

import (
	"context"
	"fmt"

	"github.com/corkpulley/corkpulley/internal/core/routing"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	hollowZone = "zone-00"
	hollowPool = "pool"
	// hollowZones is the number of zones that hollow cells spread over.
	hollowZones = 17
)

func routingSweeps() []sweep {
	return []sweep{{
		name: "routing decision against cells", role: RoleGateway,
		size: "cells of the pool in all zones", unit: UnitMicroseconds, sizes: []int{48, 96, 192, 384},
		measure: func(_ context.Context, size int) (float64, error) { return routingDecision(size) },
	}}
}

// routingDecision returns the processor time of one choice among the cells, as
// the router makes it with the digests in hand.
func routingDecision(cells int) (float64, error) {
	const decisions = 2000
	digests := make([]*message.CellDigest, 0, cells)
	for index := range cells {
		digest := hollowDigest(index, 1)
		digests = append(digests, &digest)
	}
	tracker := routing.NewTracker()
	picker := routing.NewPicker(routing.StrategyDefault, routing.Locality{Zone: hollowZone}, 1)
	table := hollowTable()
	next := 0
	return microsecondsEach(decisions, func() error {
		query := routing.NewQuery(table.Rows[0], hollowVersion, hollowPrompt(next))
		eligible := routing.Eligible(tracker.Update(digests, epoch), query, routerStaleAfter)
		picked, found := picker.Pick(eligible, query)
		if !found {
			return errNoCell
		}
		tracker.Submitted(picked.Digest.Cell)
		next++
		return nil
	})
}

// hollowDigest is the digest of a busy cell; each of the models is at one version.
func hollowDigest(index, models int) message.CellDigest {
	digest := message.CellDigest{
		Cell:     message.CellID{Zone: fmt.Sprintf("zone-%02d", index%hollowZones), Pool: hollowPool, Index: index / hollowZones},
		Node:     hollowNodeID(index),
		Address:  fmt.Sprintf("10.0.%d.%d:7400", index/250, index%250),
		Sequence: 1,
		Engines:  message.CellSize,
		Slots:    message.CellSize * batchSlots,
		Running:  200 + index%100,
	}
	for model := range models {
		name := hollowModel
		if model > 0 {
			name = fmt.Sprintf("adapter-%02d", model)
		}
		digest.Models = append(digest.Models, message.ModelCount{
			ModelVersion: engine.ModelVersion{Model: name, Version: hollowVersion}, Engines: message.CellSize,
		})
	}
	return digest
}

func hollowNodeID(index int) string { return fmt.Sprintf("node-%03d", index) }
