package ctl

import (
	"context"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// drainResult is the response to "drain".
type drainResult struct {
	State string `json:"state"`
}

func (s *session) status(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	var status api.Status
	if err := s.client.get(ctx, operatorapi.PathStatus, nil, &status); err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(status)
		return nil
	}
	printStatus(s.streams.Out, status)
	return nil
}

func (s *session) nodes(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	var nodes []api.NodeStatus
	if err := s.client.get(ctx, operatorapi.PathNodes, nil, &nodes); err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(nodes)
		return nil
	}
	printNodes(s.streams.Out, nodes)
	return nil
}

func (s *session) engines(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	query := url.Values{}
	if s.arguments.Engines.All {
		query.Set(operatorapi.QueryScope, operatorapi.ScopeAll)
	}
	var engines []api.EngineStatus
	if err := s.client.get(ctx, operatorapi.PathEngines, query, &engines); err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(engines)
		return nil
	}
	printEngines(s.streams.Out, engines)
	return nil
}

func (s *session) steps(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	var steps []api.StepStatus
	if err := s.client.get(ctx, operatorapi.PathSteps, nil, &steps); err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(steps)
		return nil
	}
	printSteps(s.streams.Out, steps)
	return nil
}

// drain requires exactly one server, as a failover would stop a different node.
func (s *session) drain(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	if len(s.client.servers) != 1 {
		return exitWith(ExitUsage, "drain stops the node that it asks: give exactly one --server, not %d",
			len(s.client.servers))
	}
	var result drainResult
	err := s.client.attempt(ctx, http.MethodPost, operatorapi.PathDrain, nil, nil, &result)
	var unreachable *unreachableError
	if errors.As(err, &unreachable) && unreachable.sent {
		return exitWith(ExitUnknown, "the node may have started to stop: %w", err)
	}
	if err != nil {
		return toExitError(err)
	}
	if s.arguments.JSON {
		s.printJSON(result)
		return nil
	}
	s.printText(s.client.servers[0] + " is " + result.State + "\n")
	return nil
}
