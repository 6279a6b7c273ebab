package pathcost

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/process"
)

// Names of the hops, for --serve.
const (
	hopPlain      = "plain"
	hopGateway    = "gateway"
	hopDispatcher = "dispatcher"
)

// startTimeout bounds the start of one process.
const startTimeout = 30 * time.Second

// announcement is the line with which a process of this command tells that it
// serves, and where.
type announcement struct {
	Address string `json:"path_cost_address"`
	Usage   string `json:"path_cost_usage"`
}

const announcementMark = `{"path_cost_address"`

// serve is the life of one process of this command.
func serve(ctx context.Context, name, upstream string, output io.Writer) error {
	served, err := newHop(ctx, name, upstream)
	if err != nil {
		return err
	}
	defer served.close()
	usage, err := serveHTTP(http.HandlerFunc(handleUsage))
	if err != nil {
		return err
	}
	defer usage.close()
	line := announcement{Address: served.address, Usage: usage.address}
	if err := json.NewEncoder(output).Encode(line); err != nil {
		return errors.Wrap(err, "announce")
	}
	<-ctx.Done()
	return nil
}

func newHop(ctx context.Context, name, upstream string) (*hop, error) {
	switch name {
	case hopPlain:
		return newPlain(upstream)
	case hopGateway:
		return newGateway(upstream, os.Stderr)
	case hopDispatcher:
		return newDispatcher(ctx, upstream, os.Stderr)
	default:
		return nil, errors.Errorf("--serve %q: expected plain, gateway or dispatcher", name)
	}
}

// startHop starts a hop as a process of this same binary.
func startHop(ctx context.Context, group *process.Group, name, upstream string) (announcement, error) {
	var told announcement
	binary, err := os.Executable()
	if err != nil {
		return told, errors.Wrap(err, "find this binary")
	}
	child, err := group.Start(process.Spec{
		Name: name, Path: binary,
		Arguments: []string{"path-cost", "--serve", name, "--upstream", upstream},
	})
	if err != nil {
		return told, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	line, err := child.WaitLine(ctx, func(line string) bool { return strings.HasPrefix(line, announcementMark) })
	if err != nil {
		return told, err
	}
	if err := json.Unmarshal([]byte(line), &told); err != nil {
		return told, errors.Wrapf(err, "announcement of %s", name)
	}
	return told, nil
}

// pollInterval is how often a condition is looked at.
const pollInterval = 5 * time.Millisecond

func waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
