package hosted

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/corkpulley/corkpulley/internal/settings"
)

// logBufferLines is the number of lines buffered for a slow reader. Further lines overwrite the oldest
// ones, which are counted as dropped.
const logBufferLines = 2000

// logOutput writes log lines without blocking the caller.
type logOutput struct {
	diode.Writer
	dropped atomic.Int64
	report  atomic.Pointer[func(int)]
}

func newLogOutput(to io.Writer) *logOutput {
	output := &logOutput{}
	output.Writer = diode.NewWriter(to, logBufferLines, 0, func(missed int) {
		output.dropped.Add(int64(missed))
		if report := output.report.Load(); report != nil {
			(*report)(missed)
		}
	})
	return output
}

// onDropped sets the function that receives the numbers of dropped lines.
func (o *logOutput) onDropped(report func(int)) { o.report.Store(&report) }

// newLogger returns a logger that writes JSON lines with the node's ID and zone.
func newLogger(config settings.Settings, output io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(config.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(output).Level(level).With().
		Str("node", config.Node.ID).Str("zone", config.Node.Zone).Logger().Hook(timestampHook{})
}

// timestampHook adds the time to each line, in milliseconds since the Unix epoch.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Int64("time", time.Now().UnixMilli())
}
