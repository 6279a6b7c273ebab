package node

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/settings"
)

// newLogger returns the daemon's logger: JSON lines with the node's ID and zone.
func newLogger(config settings.Settings, output io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(config.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(output).Level(level).With().
		Timestamp().
		Str("node", config.Node.ID).
		Str("zone", config.Node.Zone).
		Logger()
}
