package router

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/peer"
)

// watchInterval is how often a request looks whether its dispatcher is still
// among the members, for the failure that breaks no connection.
const watchInterval = time.Second

// dispatcherWatch closes a stream once its dispatcher dropped out of the members.
type dispatcherWatch struct {
	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watch watches the dispatcher of a repeatable request's stream. For others it
// does nothing: the view may be wrong, and they have nowhere else to go.
func (a *attempts) watch(stream peer.Stream, to target) *dispatcherWatch {
	watch := &dispatcherWatch{}
	if !a.request.Row.Repeatable || to.cell.Zone != a.router.options.Zone {
		return watch
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(watchInterval, func() { watch.look(a.router, stream, to) })
	return watch
}

func (w *dispatcherWatch) look(router *CellRouter, stream peer.Stream, to target) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	if router.dispatcherGone(to) {
		stream.Close()
		return
	}
	w.timer.Reset(watchInterval)
}

// stop ends the watch; the stream is not closed by it afterwards.
func (w *dispatcherWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// dispatcherGone reports whether a dispatcher of this node's zone is no longer
// among the members. Other zones' members are known only in part.
func (r *CellRouter) dispatcherGone(to target) bool {
	if to.cell.Zone != r.options.Zone {
		return false
	}
	_, member := r.members.find(to.node, time.Now())
	return !member
}
