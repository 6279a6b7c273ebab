package logrelay

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
)

// ownRecordAge bounds the age of the node's own newest announcement in the directory while its view of the others is
// current. It covers the longest time between two announcements, and the reads that find them.
const ownRecordAge = maxAnnouncePeriod + 2*maxReadPeriod

// Versions returns the versions of the live nodes. The view is current while this node finds its own announcements
// in the directory: reads that fail, or lag behind, show others as gone that are live.
func (d *Directory) Versions() clusterversion.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := clusterversion.View{
		Lowest: d.own.version(), Highest: d.own.version(), Known: isClosed(d.known), Current: d.readsItselfLocked(),
	}
	for node, each := range d.members {
		if d.alive(node) {
			view = view.With(each.version())
		}
	}
	return view
}

// readsItselfLocked reports whether this node has found a recent announcement of itself; mu is held.
func (d *Directory) readsItselfLocked() bool {
	seenAt, found := d.seenAt[d.own.Node]
	return found && time.Since(seenAt) < ownRecordAge && d.isSettled()
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (m member) version() clusterversion.Version {
	return clusterversion.OfAnnouncement(m.Version, m.Region)
}
