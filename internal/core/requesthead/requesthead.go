// Package requesthead finds the end of an HTTP/1.1 request's header in the bytes of a client, how the body after it is
// delimited, and what the header will take in memory once decoded. It decodes nothing itself: what it admits is decoded
// by net/http, which rejects what is malformed.
package requesthead

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// lineCost is the memory for one header line besides its bytes, in the decoded request and in the copy that is sent
	// on: the entries of two maps at their lowest load and two lists of values.
	lineCost = 320
	// byteCost is how often each byte of a header is held: received, decoded, encoded, and in a buffer of a connection.
	byteCost = 4
	// requestCost is the memory for a request besides its header and body: goroutines, buffers, and a connection to an
	// engine.
	requestCost = 16 << 10
)

// State is what is known of a header from the bytes so far.
type State uint8

const (
	// Incomplete means that more bytes are needed.
	Incomplete State = iota
	// Complete means that the header has arrived to its end.
	Complete
	// TooLarge means that the header does not end within its limit.
	TooLarge
)

// Scanner finds the end of a header that arrives in pieces. Each byte is examined once. The zero value is at the start of
// a header.
type Scanner struct {
	// examined is the number of bytes examined, lines the number of lines among them. lineStart is the start of the line
	// that is arriving.
	examined, lines, lineStart int
}

// Scan examines the header's bytes so far, which include those of earlier calls. end is the length of a complete header.
// Lines end as net/http ends them: with a line feed, before which a carriage return may stand.
func (s *Scanner) Scan(header []byte, limit int) (end int, state State) {
	for {
		length := bytes.IndexByte(header[s.examined:], '\n')
		if length < 0 {
			s.examined = len(header)
			break
		}
		lineEnd := s.examined + length
		line := bytes.TrimSuffix(header[s.lineStart:lineEnd], []byte{'\r'})
		s.examined, s.lineStart = lineEnd+1, lineEnd+1
		if s.examined > limit {
			return 0, TooLarge
		}
		if s.lines++; len(line) == 0 {
			return s.examined, Complete
		}
	}
	if s.examined > limit {
		return 0, TooLarge
	}
	return 0, Incomplete
}

// Cost returns the estimated memory of a request with the header that was scanned, besides its body.
func (s *Scanner) Cost() int64 {
	return requestCost + int64(s.lines)*lineCost + int64(s.examined)*byteCost
}

// Framing is how the body of a request is delimited.
type Framing struct {
	// Length is the body's length in bytes, unless one of the others is true.
	Length int64
	// Chunked is true if the body is chunked; see Chunks. Endless is true if its end is unknown.
	Chunked, Endless bool
}

// FramingOf returns the framing of the body after a complete header. A header with contradicting or invalid lengths, which
// net/http rejects, has any framing.
func FramingOf(header []byte) Framing {
	if coding, found := Field(header, "Transfer-Encoding"); found {
		return Framing{Chunked: strings.EqualFold(coding, "chunked"), Endless: !strings.EqualFold(coding, "chunked")}
	}
	text, found := Field(header, "Content-Length")
	if !found {
		return Framing{}
	}
	length, err := strconv.ParseInt(text, 10, 64)
	if err != nil || length < 0 {
		return Framing{Endless: true}
	}
	return Framing{Length: length}
}

// Field returns the value of the first header field with the name, in any case.
func Field(header []byte, name string) (value string, found bool) {
	for line := range bytes.Lines(header) {
		field, content, separated := bytes.Cut(line, []byte{':'})
		if separated && bytes.EqualFold(field, []byte(name)) {
			return string(bytes.TrimSpace(content)), true
		}
	}
	return "", false
}
