package ctl

import (
	"context"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

const revisionPollInterval = 250 * time.Millisecond

// inForceResult describes on how many nodes a revision is in force.
type inForceResult struct {
	Nodes   int      `json:"nodes"`
	Known   int      `json:"known"`
	Lagging []string `json:"lagging"`
}

// awaitInForce polls until all known nodes have the revision or a higher one.
func (s *session) awaitInForce(ctx context.Context, revision int64) (*inForceResult, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	var last *inForceResult
	var lastErr error
	for {
		result, err := s.countInForce(ctx, revision)
		if err == nil {
			if last == nil || result.Nodes != last.Nodes || result.Known != last.Known {
				s.notice("revision %d in force on %d of %d nodes", revision, result.Nodes, result.Known)
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
			return last, notInForceError(revision, last, lastErr)
		case <-time.After(revisionPollInterval):
		}
	}
}

func (s *session) countInForce(ctx context.Context, revision int64) (*inForceResult, error) {
	// PathStatus has the same list, but also queries the owners of all steps.
	var members []api.NodeStatus
	if err := s.client.get(ctx, operatorapi.PathNodes, nil, &members); err != nil {
		return nil, err
	}
	result := &inForceResult{Known: len(members), Lagging: []string{}}
	for _, member := range members {
		if member.TableRevision >= revision {
			result.Nodes++
		} else {
			result.Lagging = append(result.Lagging, member.ID)
		}
	}
	return result, nil
}

func notInForceError(revision int64, last *inForceResult, lastErr error) error {
	if last == nil {
		return exitWith(ExitNotInForce, "revision %d is accepted, but no node reported its revision in force: %v",
			revision, lastErr)
	}
	return exitWith(ExitNotInForce, "revision %d is accepted, but in force on %d of %d nodes only; lagging: %s",
		revision, last.Nodes, last.Known, strings.Join(last.Lagging, ", "))
}
