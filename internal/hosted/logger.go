package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/corkpulley/corkpulley/internal/settings"
)

const (
	// logBufferLines is the number of lines buffered for a slow reader. Further lines overwrite the oldest
	// ones, which are counted as dropped.
	logBufferLines = 2000
	// maxLineBytes bounds a line, and with it the buffer. A longer one holds what a client sent, such as a long request ID;
	// its texts are cut to maxTextBytes.
	maxLineBytes = 8 << 10
	maxTextBytes = 256
)

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

// Write implements io.Writer.
func (o *logOutput) Write(line []byte) (int, error) {
	if len(line) <= maxLineBytes {
		return o.Writer.Write(line)
	}
	if _, err := o.Writer.Write(shortenLine(line)); err != nil {
		return 0, err
	}
	return len(line), nil
}

// shortenLine cuts the texts of a line.
func shortenLine(line []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return fmt.Appendf(nil, "{\"message\":\"log line of %d bytes cannot be decoded\"}\n", len(line))
	}
	for name, value := range fields {
		if text, isText := value.(string); isText && len(text) > maxTextBytes {
			fields[name] = fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxTextBytes], ""), len(text))
		}
	}
	shortened, err := json.Marshal(fields)
	if err != nil || len(shortened) > maxLineBytes {
		return fmt.Appendf(nil, "{\"message\":%q,\"line_bytes\":%d}\n", fmt.Sprint(fields["message"]), len(line))
	}
	return append(shortened, '\n')
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
