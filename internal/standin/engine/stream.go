package engine

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// attach adds a reader to a new request, or to a known one if ResumeFrom is set. The caller must detach it.
func (s *Server) attach(request engine.GenerateRequest) (current *sequence, from int, refusal *engine.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCrashed {
		abortConnection()
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

// detach removes a reader. A stream without readers is canceled and discarded after Config.ResumeWindow.
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
	s.endSequence(current, engine.FinishCanceled, false)
	s.discard(current)
}

// cancel finishes a request as canceled and reports whether the request is known.
func (s *Server) cancel(request engine.CancelRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.sequences[sequenceKey{request.RequestID, request.Attempt}]
	if found {
		s.endSequence(current, engine.FinishCanceled, false)
	}
	return found
}

// streamState is a snapshot of a stream for one reader.
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

// repeatedTokens is the number of already sent tokens that a repeated chunk starts with.
const repeatedTokens = 3

// chunksToSend returns the new chunks. With repeatChunks set, they follow a copy of themselves that starts
// with already sent tokens.
func (s *Server) chunksToSend(current *sequence, from int) []engine.Chunk {
	chunks := current.read(from)
	if !s.repeatChunks || len(chunks) == 0 {
		return chunks
	}
	repeated := current.read(max(current.start, from-repeatedTokens))
	last := &repeated[len(repeated)-1]
	last.Finished = false // only the last chunk may end the stream
	last.FinishReason = ""
	return append(repeated, chunks...)
}

// relayChunks sends the chunks from token index from on. It returns false if the stream must be aborted.
func (s *Server) relayChunks(ctx context.Context, current *sequence, from int, send func([]engine.Chunk) error) bool {
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
