package hosted

import (
	"context"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/settings"
)

// followReloads applies reloaded settings until ctx ends or reloads is closed.
func (n *node) followReloads(ctx context.Context, reloads <-chan settings.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case reloaded, open := <-reloads:
			if !open {
				return
			}
			n.reload(reloaded)
		}
	}
}

// reload applies the settings that can change without a restart, and logs whether others have changed.
func (n *node) reload(reloaded settings.Settings) {
	grace := time.Duration(reloaded.Shutdown.Grace)
	n.state.setGrace(grace)
	if level, err := zerolog.ParseLevel(reloaded.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	restart := reloaded.Node != n.config.Node || reloaded.Listen != n.config.Listen || reloaded.Hosted != n.config.Hosted ||
		reloaded.Scheduling != n.config.Scheduling ||
		!maps.Equal(reloaded.Topology.Zones, n.config.Topology.Zones)
	n.logger.Info().Dur("grace_ms", grace).Str("level", reloaded.Log.Level).Bool("needs_restart", restart).
		Msg("settings reloaded")
}
