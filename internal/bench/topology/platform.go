package topology

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
	"github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

// Kinds of stand-ins: the subcommands of "corkbench standin".
const (
	KindLog         = "log"
	KindWeightStore = "weightstore"
	KindMachines    = "machines"
	KindScorer      = "scorer"
	KindEngine      = "engine"
)

// Platform holds the addresses ("ip:port") of the platform stand-ins, without proxies.
type Platform struct {
	Log         string
	WeightStore string
	Machines    string
	Scorer      string
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	standins := []struct {
		kind    string
		address *string
	}{
		{KindLog, &d.Platform.Log},
		{KindWeightStore, &d.Platform.WeightStore},
		{KindMachines, &d.Platform.Machines},
		{KindScorer, &d.Platform.Scorer},
	}
	for _, spec := range standins {
		address, err := process.FreeAddress()
		if err != nil {
			return err
		}
		*spec.address = address
		standin := &machine{ID: spec.kind, deployment: d}
		arguments := append([]string{"standin", spec.kind, "--listen", address}, d.config.PlatformArguments[spec.kind]...)
		if err := standin.launch(ctx, d.config.Binaries.Bench, arguments, isListeningLine); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) publishInitialModels(ctx context.Context) error {
	for _, model := range d.config.Models {
		if err := d.Publish(ctx, model); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes a model version in the weight store.
func (d *Deployment) Publish(ctx context.Context, model ModelConfig) error {
	store := weightstore.NewHTTP("http://"+d.Platform.WeightStore, d.http)
	request := weightstore.PublishRequest{Version: model.Version, SizeBytes: model.SizeBytes}
	if err := store.Publish(ctx, model.Name, request); err != nil {
		return errors.Wrapf(err, "publish %s", model.Name)
	}
	return nil
}

// maxLinkAttempts bounds the addresses tried for one link: a process that does
// not use FreeAddress may take the port first.
const maxLinkAttempts = 5

// addLink starts a proxy on a free address for the upstream address.
func (d *Deployment) addLink(name, upstream string, latency time.Duration) (*faultproxy.Link, error) {
	var lastErr error
	for range maxLinkAttempts {
		listen, err := process.FreeAddress()
		if err != nil {
			return nil, err
		}
		link, err := d.network.AddLink(name, listen, upstream)
		if err == nil {
			return link, link.SetLatency(latency)
		}
		lastErr = err
	}
	return nil, lastErr
}
