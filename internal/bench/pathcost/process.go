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

// Values of --serve.
const (
	hopPlain      = "plain"
	hopGateway    = "gateway"
	hopDispatcher = "dispatcher"
)

// startTimeout bounds the start of one process.
const startTimeout = 30 * time.Second

// announcement is the line that a process started by this command prints once it
// listens: its address and that of its usage endpoint.
type announcement struct {
	Address      string `json:"path_cost_address"`
	UsageAddress string `json:"path_cost_usage"`
}

const announcementPrefix = `{"path_cost_address"`

// serve runs one hop and its usage endpoint until ctx is done.
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
	line := announcement{Address: served.address, UsageAddress: usage.address}
	if err := json.NewEncoder(output).Encode(line); err != nil {
		return errors.Wrap(err, "print announcement")
	}
	<-ctx.Done()
	return nil
}

func newHop(ctx context.Context, name, upstream string) (*hop, error) {
	switch name {
	case hopPlain:
		return newReverseProxy(upstream)
	case hopGateway:
		return newGateway(upstream, os.Stderr)
	case hopDispatcher:
		return newDispatcher(ctx, upstream, os.Stderr)
	default:
		return nil, errors.Errorf("--serve %q: expected plain, gateway or dispatcher", name)
	}
}

// startHop starts a hop as a child process of the same binary and waits for its announcement.
func startHop(ctx context.Context, group *process.Group, name, upstream string) (announcement, error) {
	var announced announcement
	binary, err := os.Executable()
	if err != nil {
		return announced, errors.Wrap(err, "find corkbench executable")
	}
	child, err := group.Start(process.Spec{
		Name: name, Path: binary,
		Arguments: []string{"path-cost", "--serve", name, "--upstream", upstream},
	})
	if err != nil {
		return announced, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	line, err := child.WaitLine(ctx, func(line string) bool { return strings.HasPrefix(line, announcementPrefix) })
	if err != nil {
		return announced, err
	}
	if err := json.Unmarshal([]byte(line), &announced); err != nil {
		return announced, errors.Wrapf(err, "parse announcement of %s", name)
	}
	return announced, nil
}

// pollInterval is the interval at which waitUntil checks its condition.
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
