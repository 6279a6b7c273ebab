package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/logmessage"
)

const (
	maxLineBytes = 1 << 20
	// maxTimeMs is the start of the year 2200; intervals up to it fit a time.Duration.
	maxTimeMs = 7258118400000
)

// Reasons why a line is unreadable.
var (
	errNoJSON         = errors.New("no JSON object")
	errIncomplete     = errors.New("no time, node or message")
	errTooLong        = errors.New("longer than 1 MiB")
	errTimeOutOfRange = errors.New("time after the year 2200")
)

// header holds the fields that every line has.
type header struct {
	Time    int64  `json:"time"`
	Node    string `json:"node"`
	Message string `json:"message"`
}

// parseHeader returns the header of a line and its JSON object. Text before the object is ignored. The message of an
// older build is replaced by the present one.
func parseHeader(line []byte) (header, []byte, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return header{}, nil, errNoJSON
	}
	raw := line[start:]
	var parsed header
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return header{}, nil, errors.Wrap(err, "parse the line")
	}
	if parsed.Time <= 0 || parsed.Node == "" || parsed.Message == "" {
		return header{}, nil, errIncomplete
	}
	if parsed.Time > maxTimeMs {
		return header{}, nil, errTimeOutOfRange
	}
	parsed.Message = logmessage.Current(parsed.Message)
	return parsed, raw, nil
}

// readLine returns the next line, valid until the next call, and whether it was truncated to maxLineBytes. It returns
// io.EOF after the last line.
func readLine(reader *bufio.Reader, buffer []byte) (line []byte, truncated bool, err error) {
	line = buffer[:0]
	for {
		part, err := reader.ReadSlice('\n')
		if limit := maxLineBytes - len(line); len(part) > limit {
			part, truncated = part[:limit], true
		}
		line = append(line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, truncated, nil
		default:
			return line, truncated, err
		}
	}
}
