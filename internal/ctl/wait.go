package ctl

import (
	"context"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// forcePoll is the pause between two looks at the nodes' revisions.
const forcePoll = 250 * time.Millisecond

// forceResult tells on how many nodes a revision is in force.
type forceResult struct {
	Nodes   int      `json:"nodes"`
	Known   int      `json:"known"`
	Lagging []string `json:"lagging"`
}

// awaitInForce polls until all known nodes have the revision or a higher one.
func (s *session) awaitInForce(ctx context.Context, revision int64) (*forceResult, error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	var last *forceResult
	var lastErr error
	for {
		result, err := s.countInForce(ctx, revision)
		if err == nil {
			if last == nil || result.Nodes != last.Nodes || result.Known != last.Known {
				s.remark("revision %d in force on %d of %d nodes", revision, result.Nodes, result.Known)
			}
			last = result
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if err == nil && len(result.Lagging) == 0 {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return last, notInForce(revision, last, lastErr)
		case <-time.After(forcePoll):
		}
	}
}

func (s *session) countInForce(ctx context.Context, revision int64) (*forceResult, error) {
	// The status has the same list, but also asks the owners of all steps.
	var members []api.NodeStatus
	if err := s.client.get(ctx, operatorapi.PathNodes, nil, &members); err != nil {
		return nil, err
	}
	result := &forceResult{Known: len(members), Lagging: []string{}}
	for _, member := range members {
		if member.TableRevision >= revision {
			result.Nodes++
		} else {
			result.Lagging = append(result.Lagging, member.ID)
		}
	}
	return result, nil
}

func notInForce(revision int64, last *forceResult, lastErr error) error {
	if last == nil {
		return exitWith(ExitNotInForce, "revision %d is accepted, but no node told what it has in force: %v",
			revision, lastErr)
	}
	return exitWith(ExitNotInForce, "revision %d is accepted, but in force on %d of %d nodes only; lagging: %s",
		revision, last.Nodes, last.Known, strings.Join(last.Lagging, ", "))
}
