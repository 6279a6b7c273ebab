package keyed

import "time"

// awaitIdle has closeIdle called when no flight comes for a while; mu is held.
func (s *shard) awaitIdle() {
	if s.idle == nil {
		s.idle = time.AfterFunc(s.executor.options.ShardIdle, s.closeIdle)
		return
	}
	s.idle.Reset(s.executor.options.ShardIdle)
}

// closeIdle stops to tail a stream that no key needs, so that an idle shard
// costs neither polls nor the memory of its keys. The next leader opens it again
// and gets the same state from the log.
func (s *shard) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.flights) > 0 || s.stream == nil {
		return
	}
	s.stream.Close()
	s.stream, s.reducer = nil, nil
}
