package logrelay

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
)

// maxOwnAnnouncementAge is the age of the node's own newest announcement in the directory up to which its view of
// the others is considered current. It covers the longest time between two announcements, and the reads that find
// them.
const maxOwnAnnouncementAge = maxAnnouncePeriod + 2*maxReadPeriod

// Versions returns the versions of the live nodes. Current is true while the node finds its own announcements in the
// directory: if reads fail or lag behind, live nodes seem to have left. Known is true after the first complete read of
// the directory, unless the newest announcement of its own that the node has read is older than
// maxOwnAnnouncementAge: announcements of others may then have been missed as well.
func (d *Directory) Versions() clusterversion.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	seenAt, found := d.seenAt[d.own.Node]
	isRecent := time.Since(seenAt) < maxOwnAnnouncementAge
	view := clusterversion.View{
		Lowest: d.own.version(), Highest: d.own.version(),
		Known:   isClosed(d.loaded) && (isRecent || !found),
		Current: isRecent && found && d.isSettled(),
	}
	for node, each := range d.members {
		if d.isAlive(node) {
			view = view.With(each.version())
		}
	}
	return view
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
