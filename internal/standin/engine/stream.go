package engine

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// attach opens a reader: of a new request, or of a known one when ResumeFrom
// is set. The reader must be detached.
func (s *Server) attach(request engine.GenerateRequest) (current *sequence, from int, refusal *engine.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		abort()
	}
	if request.ResumeFrom == nil {
		current, refusal = s.submit(request)
		if refusal != nil {
			return nil, 0, refusal
		}
		s.addReader(current)
		return current, current.start, nil
	}
	current, found := s.sequences[sequenceKey{request.RequestID, request.Attempt}]
	if !found {
		return nil, 0, unknownStream()
	}
	from = *request.ResumeFrom
	if from < current.start || from > current.visible {
		return nil, 0, &engine.Refusal{Code: engine.CodeInvalid, Message: "resume_from is outside the stream", Ran: true}
	}
	s.addReader(current)
	return current, from, nil
}

func (s *Server) addReader(current *sequence) {
	current.readers++
	if current.expiry != nil {
		current.expiry.Stop()
		current.expiry = nil
	}
}

// detach closes a reader; without another one the stream is kept for
// Config.ResumeWindow, then canceled and forgotten.
func (s *Server) detach(current *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current.readers--
	if current.readers == 0 {
		current.expiry = time.AfterFunc(s.config.ResumeWindow, func() { s.expire(current) })
	}
}

func (s *Server) expire(current *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.readers > 0 {
		return
	}
	s.end(current, engine.FinishCanceled, false)
	s.forget(current)
}

// cancel ends a request; it reports false when the request is not known.
func (s *Server) cancel(request engine.CancelRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.sequences[sequenceKey{request.RequestID, request.Attempt}]
	if found {
		s.end(current, engine.FinishCanceled, false)
	}
	return found
}

// streamState is what a reader finds at one moment.
type streamState struct {
	chunks   []engine.Chunk
	finished bool
	broken   bool
	changed  <-chan struct{}
}

func (s *Server) readStream(current *sequence, from int) streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamState{
		chunks:   s.chunksToSend(current, from),
		finished: current.finished,
		broken:   current.broken,
		changed:  current.changed,
	}
}

// lateTokens is how many tokens before the new ones a late chunk repeats.
const lateTokens = 3

// chunksToSend returns the new chunks. With repeats on, earlier tokens come late
// and together with the new ones before these come again.
func (s *Server) chunksToSend(current *sequence, from int) []engine.Chunk {
	chunks := current.read(from)
	if !s.repeatChunks || len(chunks) == 0 {
		return chunks
	}
	late := current.read(max(current.start, from-lateTokens))
	last := &late[len(late)-1]
	last.Finished = false // the finished chunk ends the stream, so it comes once
	last.FinishReason = ""
	return append(late, chunks...)
}

// relay sends the chunks from token index from on, until the last one. It
// returns false when the stream must break off.
func (s *Server) relay(ctx context.Context, current *sequence, from int, send func([]engine.Chunk) error) bool {
	for {
		state := s.readStream(current, from)
		if len(state.chunks) > 0 {
			if err := send(state.chunks); err != nil {
				return false
			}
			last := state.chunks[len(state.chunks)-1]
			from = last.FirstToken + len(last.Tokens)
		}
		if state.broken {
			return false
		}
		if state.finished {
			return true
		}
		select {
		case <-state.changed:
		case <-ctx.Done():
			return false
		}
	}
}
