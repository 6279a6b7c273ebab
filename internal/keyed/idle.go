package keyed

import "time"

// startIdleTimer starts or restarts the timer that calls closeIdle. Must be called with mu held.
func (s *shard) startIdleTimer() {
	if s.idleTimer == nil {
		s.idleTimer = time.AfterFunc(s.executor.options.ShardIdle, s.closeIdle)
		return
	}
	s.idleTimer.Reset(s.executor.options.ShardIdle)
}

// closeIdle closes the stream of a shard without executions, which frees the memory of its keys and ends its polls.
// The next execution opens it again and recovers the same state from the log.
func (s *shard) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executions) > 0 || s.stream == nil {
		return
	}
	s.stream.Close()
	s.stream, s.reducer = nil, nil
}
