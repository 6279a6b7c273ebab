package engine

import (
	"strconv"
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// sequenceKey names one attempt of one request.
type sequenceKey struct {
	requestID string
	attempt   uint32
}

// span is a run of tokens [from, to) of one weight version.
type span struct {
	Version uint64 `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// sequence is one accepted request. All fields are guarded by Server.mu.
type sequence struct {
	request engine.GenerateRequest
	// start is the index of the first token made here; total is the length of
	// the whole answer.
	start, total int
	natural      bool // the answer ends by itself, not by MaxTokens
	// spans cover [start, next) and tell the version of each token.
	spans []span
	next  int
	// visible is the end of the tokens that were released as chunks.
	visible int

	cachedTokens int
	// readyAt is the end of the prefill.
	readyAt      time.Time
	started      bool
	finished     bool
	finishReason string
	// broken ends the readers' connections without a finished chunk.
	broken bool

	readers int
	// expiry runs while the sequence has no reader.
	expiry *time.Timer
	// changed is closed and replaced when there is something new to read.
	changed chan struct{}
	// history is nil unless a history is kept; number is its place there.
	history *RequestHistory
	number  int
}

func (s *sequence) key() sequenceKey {
	return sequenceKey{s.request.RequestID, s.request.Attempt}
}

// wake tells the readers that there is something new.
func (s *sequence) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// emit makes the next token under the version.
func (s *sequence) emit(version uint64) {
	s.spans = appendSpan(s.spans, span{Version: version, From: s.next, To: s.next + 1})
	s.next++
}

// done tells whether the answer is whole.
func (s *sequence) done() bool { return s.next >= s.total }

// release makes the tokens readable once there are enough for a chunk, or at the end.
func (s *sequence) release(chunkTokens int) {
	if s.next-s.visible < chunkTokens && !s.finished {
		return
	}
	if s.visible == s.next && !s.finished {
		return
	}
	s.visible = s.next
	s.wake()
}

// read returns the chunks from token index from on; from must lie in [start, visible].
func (s *sequence) read(from int) []engine.Chunk {
	var chunks []engine.Chunk
	for _, run := range s.spans {
		first := max(run.From, from)
		end := min(run.To, s.visible)
		if first >= end {
			continue
		}
		chunk := s.chunk(first)
		chunk.Version = run.Version
		chunk.Tokens = tokens(first, end, run.Version)
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

// markFinished sets the end on the last chunk, or adds one without tokens.
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

// tokens returns the texts of tokens [from, to): "<index>:<version> ".
func tokens(from, to int, version uint64) []string {
	texts := make([]string, 0, to-from)
	suffix := ":" + strconv.FormatUint(version, 10) + " "
	for index := from; index < to; index++ {
		texts = append(texts, strconv.Itoa(index)+suffix)
	}
	return texts
}
