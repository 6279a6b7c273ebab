package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

const (
	// maxLineBytes bounds one line; a longer one is unreadable.
	maxLineBytes = 1 << 20
	// maxTime is the year 2200 in milliseconds; spans below it fit a time.Duration.
	maxTime = 7258118400000
)

// Reasons why a line is unreadable.
var (
	errNoObject   = errors.New("no JSON object")
	errIncomplete = errors.New("no time, node or message")
	errTooLong    = errors.New("longer than 1 MiB")
	errWrongTime  = errors.New("its time is beyond the year 2200")
)

// header holds the fields of every line.
type header struct {
	Time    int64  `json:"time"`
	Node    string `json:"node"`
	Message string `json:"message"`
}

// parseHeader returns the header of a line and its JSON; whatever stands before the object is ignored.
func parseHeader(line []byte) (header, []byte, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return header{}, nil, errNoObject
	}
	raw := line[start:]
	var parsed header
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return header{}, nil, errors.Wrap(err, "parse the line")
	}
	if parsed.Time <= 0 || parsed.Node == "" || parsed.Message == "" {
		return header{}, nil, errIncomplete
	}
	if parsed.Time > maxTime {
		return header{}, nil, errWrongTime
	}
	return parsed, raw, nil
}

// readLine returns the next line, valid until the next call, and whether it was cut at maxLineBytes.
// The error is io.EOF after the last line.
func readLine(reader *bufio.Reader, buffer []byte) (line []byte, cut bool, err error) {
	line = buffer[:0]
	for {
		part, err := reader.ReadSlice('\n')
		if room := maxLineBytes - len(line); len(part) > room {
			part, cut = part[:room], true
		}
		line = append(line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, cut, nil
		default:
			return line, cut, err
		}
	}
}
