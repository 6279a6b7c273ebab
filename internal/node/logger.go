package node

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/settings"
)

// timestampField is the log field with the time, in milliseconds since the Unix epoch.
const timestampField = "time"

// newLogger returns a logger that writes JSON lines with the node's ID and zone.
func newLogger(config settings.Settings, output io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(config.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(output).Level(level).With().
		Str("node", config.Node.ID).
		Str("zone", config.Node.Zone).
		Logger().
		Hook(timestampHook{})
}

// timestampHook adds the time to each line. The library's own timestamp takes its
// format from a global variable, a data race if several nodes run in one process.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Int64(timestampField, time.Now().UnixMilli())
}
