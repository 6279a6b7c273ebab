package engine

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

const (
	// watcherBuffer bounds the cache events that wait for one watcher; what
	// does not fit is lost, as a gap.
	watcherBuffer = 1024
	// shortestInterval and longestInterval bound the interval of status events.
	shortestInterval = 10 * time.Millisecond
	longestInterval  = time.Minute
)

// watcher is one reader of the watch stream.
type watcher struct {
	events chan lateEvent
}

// lateEvent is a cache event and the moment from which it may be sent.
type lateEvent struct {
	due   time.Time
	event engine.Event
}

// publish sends a cache event to the watchers, unless it falls into a gap. The
// caller holds the lock.
func (s *Server) publish(kind engine.EventKind, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	s.cacheEvents++
	if s.random.Float64() < s.config.EventGap {
		return
	}
	late := lateEvent{
		due:   time.Now().Add(s.config.EventDelay),
		event: engine.Event{Kind: kind, Sequence: s.cacheEvents, Prefixes: prefixes},
	}
	for target := range s.watchers {
		select {
		case target.events <- late:
		default:
		}
	}
}

// watch sends events until ctx ends, the engine crashes, or send fails.
func (s *Server) watch(ctx context.Context, interval time.Duration, send func(engine.Event) error) {
	target := &watcher{events: make(chan lateEvent, watcherBuffer)}
	s.addWatcher(target)
	defer s.removeWatcher(target)
	ticker := time.NewTicker(min(max(interval, shortestInterval), longestInterval))
	defer ticker.Stop()
	for {
		status, changed := s.statusAndChange()
		if err := send(engine.Event{Kind: engine.EventStatus, Status: &status}); err != nil {
			return
		}
		if !s.sendCacheEvents(ctx, target, ticker.C, changed, send) {
			return
		}
	}
}

// sendCacheEvents sends cache events as they fall due until a status is due,
// and returns false when the stream must end.
func (s *Server) sendCacheEvents(ctx context.Context, target *watcher, tick <-chan time.Time, changed <-chan struct{}, send func(engine.Event) error) bool {
	delay := time.NewTimer(0)
	defer delay.Stop()
	<-delay.C
	var pending *engine.Event
	for {
		incoming := target.events
		if pending != nil {
			incoming = nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.crashed:
			return false
		case <-s.stopped:
			return false
		case <-tick:
			return s.flush(pending, send)
		case <-changed:
			return s.flush(pending, send)
		case late := <-incoming:
			pending = &late.event
			delay.Reset(time.Until(late.due))
		case <-delay.C:
			if err := send(*pending); err != nil {
				return false
			}
			pending = nil
		}
	}
}

func (s *Server) flush(pending *engine.Event, send func(engine.Event) error) bool {
	return pending == nil || send(*pending) == nil
}

func (s *Server) statusAndChange() (engine.Status, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked(), s.stateChanged
}

func (s *Server) addWatcher(target *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[target] = struct{}{}
}

func (s *Server) removeWatcher(target *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, target)
}
