package engine

import (
	"strconv"
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// sequenceKey identifies an attempt of a request.
type sequenceKey struct {
	requestID string
	attempt   uint32
}

// span is a range of tokens [From, To) generated with one weight version.
type span struct {
	Version uint64 `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// sequence is an accepted request. All fields are guarded by Server.mu.
type sequence struct {
	request engine.GenerateRequest
	// start is the index of the first token generated here; total is the length of the whole answer.
	start, total int
	// untruncated is set if MaxTokens does not truncate the answer.
	untruncated bool
	// spans cover [start, nextToken) and hold the version of each token.
	spans     []span
	nextToken int
	// visible is the end of the tokens that readers can see.
	visible int

	cachedTokens int
	// readyAt is the end of the prefill.
	readyAt      time.Time
	started      bool
	finished     bool
	finishReason string
	// broken aborts the readers' connections without a final chunk.
	broken bool

	readers int
	// expiry is set while the sequence has no reader.
	expiry *time.Timer
	// changed is closed and replaced when readers have something new to read.
	changed chan struct{}
	// history is nil unless a history is kept; number is the index in it.
	history *RequestHistory
	number  int
}

func (s *sequence) key() sequenceKey {
	return sequenceKey{s.request.RequestID, s.request.Attempt}
}

func (s *sequence) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// emitToken appends the next token, generated with the version.
func (s *sequence) emitToken(version uint64) {
	s.spans = appendSpan(s.spans, span{Version: version, From: s.nextToken, To: s.nextToken + 1})
	s.nextToken++
}

// done reports whether the answer is complete.
func (s *sequence) done() bool { return s.nextToken >= s.total }

// releaseTokens makes generated tokens visible once there are enough for a chunk, or at the end.
func (s *sequence) releaseTokens(chunkTokens int) {
	if s.nextToken-s.visible < chunkTokens && !s.finished {
		return
	}
	if s.visible == s.nextToken && !s.finished {
		return
	}
	s.visible = s.nextToken
	s.notifyReaders()
}

// read returns the chunks from token index from on; from must be in [start, visible].
func (s *sequence) read(from int) []engine.Chunk {
	var chunks []engine.Chunk
	for _, part := range s.spans {
		first := max(part.From, from)
		end := min(part.To, s.visible)
		if first >= end {
			continue
		}
		chunk := s.chunk(first)
		chunk.Version = part.Version
		chunk.Tokens = tokens(first, end, part.Version)
		chunks = append(chunks, chunk)
	}
	if s.finished {
		chunks = s.markFinished(chunks, from)
	}
	return chunks
}

func (s *sequence) chunk(first int) engine.Chunk {
	chunk := engine.Chunk{
		RequestID:  s.request.RequestID,
		Attempt:    s.request.Attempt,
		FirstToken: first,
	}
	if first == s.start {
		chunk.CachedTokens = s.cachedTokens
	}
	return chunk
}

// markFinished marks the last chunk as final, or appends a final chunk without tokens.
func (s *sequence) markFinished(chunks []engine.Chunk, from int) []engine.Chunk {
	if len(chunks) == 0 {
		chunk := s.chunk(max(from, s.visible))
		if len(s.spans) > 0 {
			chunk.Version = s.spans[len(s.spans)-1].Version
		}
		chunks = append(chunks, chunk)
	}
	last := &chunks[len(chunks)-1]
	last.Finished = true
	last.FinishReason = s.finishReason
	return chunks
}

// tokens returns the texts of tokens [from, to), each "<index>:<version> ".
func tokens(from, to int, version uint64) []string {
	texts := make([]string, 0, to-from)
	suffix := ":" + strconv.FormatUint(version, 10) + " "
	for index := from; index < to; index++ {
		texts = append(texts, strconv.Itoa(index)+suffix)
	}
	return texts
}
