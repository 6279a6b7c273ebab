package enginehttp

import (
	"bytes"
	"github.com/corkpulley/corkpulley/internal/engine"
	"strconv"
)

// maxScannedDigits keeps scanned numbers within the range of each Chunk field.
const maxScannedDigits = 9

// chunkScanner decodes the common form of a chunk with few allocations: compact JSON with known keys, ASCII
// strings without escapes, and small numbers.
//
// Invariant: it either decodes a line as encoding/json does, or rejects it.
type chunkScanner struct {
	line     []byte
	position int
	// requestID is the expected ID; if the line has the same ID, the chunk shares this string instead of a copy.
	requestID string
}

// scan decodes the line; it returns false if the line does not have the common form.
func (s *chunkScanner) scan() (engine.Chunk, bool) {
	var chunk engine.Chunk
	if !s.accept('{') {
		return chunk, false
	}
	for {
		if !s.field(&chunk) {
			return engine.Chunk{}, false
		}
		if s.accept('}') {
			break
		}
		if !s.accept(',') {
			return engine.Chunk{}, false
		}
	}
	return chunk, s.atEnd()
}

func (s *chunkScanner) atEnd() bool {
	return len(bytes.TrimRight(s.line[s.position:], "\r\n")) == 0
}

// accept consumes the next byte if it is the wanted one.
func (s *chunkScanner) accept(wanted byte) bool {
	if s.position >= len(s.line) || s.line[s.position] != wanted {
		return false
	}
	s.position++
	return true
}

// field decodes a key and its value.
func (s *chunkScanner) field(chunk *engine.Chunk) bool {
	key, ok := s.text()
	if !ok || !s.accept(':') {
		return false
	}
	switch string(key) {
	case "request_id":
		return s.requestIDField(chunk)
	case "attempt":
		return scanNumber(s, &chunk.Attempt)
	case "first_token":
		return scanNumber(s, &chunk.FirstToken)
	case "tokens":
		return s.tokens(chunk)
	case "version":
		return scanNumber(s, &chunk.Version)
	case "finished":
		return s.boolean(&chunk.Finished)
	case "finish_reason":
		reason, ok := s.text()
		chunk.FinishReason = string(reason)
		return ok
	case "cached_tokens":
		return scanNumber(s, &chunk.CachedTokens)
	default:
		return false
	}
}

func (s *chunkScanner) requestIDField(chunk *engine.Chunk) bool {
	id, ok := s.text()
	if string(id) == s.requestID {
		chunk.RequestID = s.requestID
	} else {
		chunk.RequestID = string(id)
	}
	return ok
}

// text returns the content of a string without escapes.
func (s *chunkScanner) text() ([]byte, bool) {
	if !s.accept('"') {
		return nil, false
	}
	start := s.position
	for s.position < len(s.line) {
		current := s.line[s.position]
		s.position++
		switch {
		case current == '"':
			return s.line[start : s.position-1], true
		case current == '\\' || current < ' ' || current >= 0x80:
			return nil, false
		}
	}
	return nil, false
}

func (s *chunkScanner) tokens(chunk *engine.Chunk) bool {
	if !s.accept('[') {
		return false
	}
	chunk.Tokens = []string{}
	if s.accept(']') {
		return true
	}
	for {
		token, ok := s.text()
		if !ok {
			return false
		}
		chunk.Tokens = append(chunk.Tokens, string(token))
		if s.accept(']') {
			return true
		}
		if !s.accept(',') {
			return false
		}
	}
}

func (s *chunkScanner) boolean(target *bool) bool {
	rest := s.line[s.position:]
	switch {
	case bytes.HasPrefix(rest, []byte("true")):
		*target = true
		s.position += len("true")
		return true
	case bytes.HasPrefix(rest, []byte("false")):
		*target = false
		s.position += len("false")
		return true
	}
	return false
}

// scanNumber decodes a small unsigned integer.
func scanNumber[T uint32 | uint64 | int](s *chunkScanner, target *T) bool {
	start := s.position
	for s.position < len(s.line) && s.line[s.position] >= '0' && s.line[s.position] <= '9' {
		s.position++
	}
	digits := s.line[start:s.position]
	if len(digits) == 0 || len(digits) > maxScannedDigits || len(digits) > 1 && digits[0] == '0' {
		return false
	}
	value, err := strconv.ParseUint(string(digits), 10, 32)
	*target = T(value)
	return err == nil
}
