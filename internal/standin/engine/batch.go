package engine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/engine"
)

const (
	// batchSlowdown is the share of the single-request step time that each further request in the batch adds to a step.
	batchSlowdown = 0.02
	// minStepTime prevents a busy loop while the batch is stalled.
	minStepTime = 100 * time.Microsecond
)

// submit enqueues a request, or returns why it is refused. Must be called with mu held.
func (s *Server) submit(request engine.GenerateRequest) (*sequence, *engine.Refusal) {
	if refusal := s.refusal(request); refusal != nil {
		return nil, refusal
	}
	naturalLength := answerLength(request.Prompt, request.Seed)
	start := len(request.Generated)
	total := max(start, min(naturalLength, request.MaxTokens))
	accepted := &sequence{
		request:     request,
		start:       start,
		nextToken:   start,
		visible:     start,
		total:       total,
		untruncated: naturalLength <= request.MaxTokens,
		changed:     make(chan struct{}),
	}
	s.sequences[accepted.key()] = accepted
	s.enqueue(accepted)
	if !s.stepping {
		s.stepping = true
		go s.runSteps()
	}
	return accepted, nil
}

// refusal returns why a request is refused, or nil. Nothing was executed unless Ran is set.
func (s *Server) refusal(request engine.GenerateRequest) *engine.Refusal {
	if _, exists := s.sequences[sequenceKey{request.RequestID, request.Attempt}]; exists {
		return &engine.Refusal{Code: engine.CodeInvalid, Message: "the attempt was submitted before", Ran: true}
	}
	if request.RequestID == "" || request.MaxTokens < 1 {
		return &engine.Refusal{Code: engine.CodeInvalid, Message: "request_id and a positive max_tokens are required"}
	}
	switch s.stateLocked() {
	case engine.StateBroken:
		return &engine.Refusal{Code: engine.CodeBroken, Message: "a load failed"}
	case engine.StateDraining:
		return &engine.Refusal{Code: engine.CodeDraining, Message: "engine takes no new requests"}
	}
	model, held := s.models[request.Model]
	if !held || model.version == 0 {
		return &engine.Refusal{Code: engine.CodeUnknownModel, Message: "model " + request.Model + " is not held"}
	}
	if model.version < request.MinVersion {
		return &engine.Refusal{Code: engine.CodeVersionTooLow, Message: "model is below the version asked for"}
	}
	if len(s.waiting) >= s.config.MaxWaiting {
		return &engine.Refusal{Code: engine.CodeOverloaded, Message: "too many requests wait"}
	}
	return nil
}

// enqueue inserts a request after those of the same or a higher priority.
func (s *Server) enqueue(accepted *sequence) {
	position := len(s.waiting)
	for position > 0 && s.waiting[position-1].request.Priority < accepted.request.Priority {
		position--
	}
	s.waiting = slices.Insert(s.waiting, position, accepted)
}

// runSteps is the step loop. It returns when no request is running or waiting.
func (s *Server) runSteps() {
	for {
		s.mu.Lock()
		s.admit()
		if len(s.running) == 0 {
			s.stepping = false
			s.mu.Unlock()
			return
		}
		step := s.stepTime()
		s.mu.Unlock()

		time.Sleep(step)

		s.mu.Lock()
		s.step(time.Now())
		s.mu.Unlock()
	}
}

// stepTime returns the duration of a decode step of the current batch.
func (s *Server) stepTime() time.Duration {
	return StepTime(s.config.TokenInterval, len(s.running))
}

// StepTime returns the duration of a decode step for a batch size of 1 or more, given that of a single request.
func StepTime(tokenInterval time.Duration, batch int) time.Duration {
	factor := 1 + batchSlowdown*float64(batch-1)
	return max(minStepTime, time.Duration(float64(tokenInterval)*factor))
}

// admit moves waiting requests into free slots of the batch.
func (s *Server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.config.MaxBatch {
		next := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		s.start(next)
	}
}

// start starts the prefill of a request.
func (s *Server) start(next *sequence) {
	now := time.Now()
	request := &next.request
	version := s.models[request.Model].version
	hashes := engine.PrefixHashes(request.Model, version, request.Prompt)
	cachedTokens, stored, evicted := s.cache.lookupAndStore(hashes)
	s.publishCacheEvent(engine.EventStored, stored)
	s.publishCacheEvent(engine.EventEvicted, evicted)

	prompt := promptTokens(request.Prompt)
	next.cachedTokens = min(cachedTokens, prompt)
	prefill := prompt - next.cachedTokens + len(request.Generated)
	if s.imports.consume(request.KVHandle, xxhash.Sum64String(request.Prompt)) {
		prefill = 0
	}
	next.readyAt = now.Add(time.Duration(prefill) * s.config.PrefillPerToken)
	next.started = true
	s.running = append(s.running, next)
	s.recordStart(next, now)
}

func promptTokens(prompt string) int { return len(prompt) / engine.BytesPerToken }

// step generates one token for each request in the batch that has finished its prefill.
func (s *Server) step(now time.Time) {
	if s.stalled {
		return
	}
	for _, current := range slices.Clone(s.running) {
		model := s.models[current.request.Model]
		if model.swapping || now.Before(current.readyAt) {
			continue
		}
		if !current.done() {
			s.emitToken(current, model.version)
		}
		if current.done() {
			s.endSequence(current, current.completionReason(), false)
			continue
		}
		current.releaseTokens(s.config.ChunkTokens)
	}
}

// emitToken generates the next token of a request.
func (s *Server) emitToken(current *sequence, version uint64) {
	current.emitToken(version)
	if current.history == nil {
		return
	}
	generated := Span{Version: version, From: current.nextToken - 1, To: current.nextToken}
	s.historyFile.write(&historyEvent{Request: current.number, Generated: &generated})
}

// completionReason returns the finish reason of a complete answer.
func (s *sequence) completionReason() string {
	if s.untruncated {
		return engine.FinishStop
	}
	return engine.FinishLength
}

// endSequence removes a request from the batch and the queue and notifies its readers.
func (s *Server) endSequence(current *sequence, reason string, broken bool) {
	if current.finished || current.broken {
		return
	}
	current.broken = broken
	if !broken {
		current.finished = true
		current.finishReason = reason
	}
	isCurrent := func(other *sequence) bool { return other == current }
	s.running = slices.DeleteFunc(s.running, isCurrent)
	s.waiting = slices.DeleteFunc(s.waiting, isCurrent)
	if broken {
		s.discard(current)
	}
	s.recordEnd(current, time.Now())
	current.visible = current.nextToken
	current.notifyReaders()
}

// discard removes a request and its tokens. Resuming its stream then fails as unknown.
func (s *Server) discard(current *sequence) {
	if s.sequences[current.key()] == current {
		delete(s.sequences, current.key())
	}
}

func (s *Server) recordStart(next *sequence, now time.Time) {
	if !s.config.History && s.historyFile == nil {
		return
	}
	next.number = len(s.requests)
	next.history = &RequestHistory{
		RequestID:     next.request.RequestID,
		Attempt:       next.request.Attempt,
		Service:       next.request.Service,
		Model:         next.request.Model,
		PromptHash:    xxhash.Sum64String(next.request.Prompt),
		StartedUnixNS: now.UnixNano(),
		StartIndex:    next.start,
		PromptTokens:  promptTokens(next.request.Prompt),
		CachedTokens:  next.cachedTokens,
		Outcome:       OutcomeRunning,
	}
	s.requests = append(s.requests, next)
	s.historyFile.write(&historyEvent{Request: next.number, Started: next.history})
}

func (s *Server) recordEnd(current *sequence, now time.Time) {
	if current.history == nil {
		return
	}
	current.history.EndedUnixNS = now.UnixNano()
	current.history.Outcome = current.finishReason
	if current.broken {
		current.history.Outcome = OutcomeBroken
	}
	end := requestEnd{UnixNS: current.history.EndedUnixNS, Outcome: current.history.Outcome}
	s.historyFile.write(&historyEvent{Request: current.number, Ended: &end})
}
