package router

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/peer"
)

// watchInterval is how often a request checks that its dispatcher is still a member, to detect
// failures that do not break the connection.
const watchInterval = time.Second

// dispatcherWatch closes a stream once its dispatcher is no longer a member.
type dispatcherWatch struct {
	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watch monitors the dispatcher of a repeatable request. For other requests it does nothing: they
// cannot continue elsewhere, and the membership view may be wrong.
func (a *attempts) watch(stream peer.Stream, to target) *dispatcherWatch {
	watch := &dispatcherWatch{}
	if !a.request.Row.Repeatable || to.cell.Zone != a.router.options.Zone {
		return watch
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(watchInterval, func() { watch.check(a.router, stream, to) })
	return watch
}

func (w *dispatcherWatch) check(router *CellRouter, stream peer.Stream, to target) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	if router.dispatcherLeft(to) {
		stream.Close()
		return
	}
	w.timer.Reset(watchInterval)
}

// stop ends the watch; it does not close the stream afterwards.
func (w *dispatcherWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// dispatcherLeft reports whether a dispatcher in this node's zone is no longer a member. Members of
// other zones are only partly known, so it reports false for them.
func (r *CellRouter) dispatcherLeft(to target) bool {
	if to.cell.Zone != r.options.Zone {
		return false
	}
	_, member := r.members.find(to.node, time.Now())
	return !member
}
