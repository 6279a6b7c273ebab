package engine

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

const (
	// watcherBuffer is the maximum number of queued cache events per watcher; further ones are lost.
	watcherBuffer = 1024
	// minStatusInterval and maxStatusInterval limit the interval of status events.
	minStatusInterval = 10 * time.Millisecond
	maxStatusInterval = time.Minute
)

// watcher is a reader of the watch stream.
type watcher struct {
	events chan delayedEvent
}

// delayedEvent is a cache event and the time from which it may be sent.
type delayedEvent struct {
	due   time.Time
	event engine.Event
}

// publishCacheEvent queues a cache event for all watchers, or loses it with probability Config.EventLossShare.
// Must be called with mu held.
func (s *Server) publishCacheEvent(kind engine.EventKind, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	s.cacheEvents++
	if s.random.Float64() < s.config.EventLossShare {
		return
	}
	delayed := delayedEvent{
		due:   time.Now().Add(s.config.EventDelay),
		event: engine.Event{Kind: kind, Sequence: s.cacheEvents, Prefixes: prefixes},
	}
	for target := range s.watchers {
		select {
		case target.events <- delayed:
		default:
		}
	}
}

// watch sends events until ctx ends, the engine stops or crashes, or send fails.
func (s *Server) watch(ctx context.Context, interval time.Duration, send func(engine.Event) error) {
	target := &watcher{events: make(chan delayedEvent, watcherBuffer)}
	s.addWatcher(target)
	defer s.removeWatcher(target)
	ticker := time.NewTicker(min(max(interval, minStatusInterval), maxStatusInterval))
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

// sendCacheEvents sends cache events when they are due until the next status event is due. It returns false if
// the stream must end.
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
			return s.sendPending(pending, send)
		case <-changed:
			return s.sendPending(pending, send)
		case delayed := <-incoming:
			pending = &delayed.event
			delay.Reset(time.Until(delayed.due))
		case <-delay.C:
			if err := send(*pending); err != nil {
				return false
			}
			pending = nil
		}
	}
}

func (s *Server) sendPending(pending *engine.Event, send func(engine.Event) error) bool {
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
