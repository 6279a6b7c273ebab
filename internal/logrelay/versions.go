package logrelay

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
)

// ownRecordAge limits the age of the node's own newest announcement in the directory while its view of the others
// is considered current. It covers the longest time between two announcements, and the reads that find them.
const ownRecordAge = maxAnnouncePeriod + 2*maxReadPeriod

// Versions returns the versions of the live nodes. The view is current while the node finds its own announcements
// in the directory: if reads fail or lag behind, live nodes appear to be gone. Known is false until the directory
// was first read completely, and once the node's own newest announcement is older than ownRecordAge, since
// announcements of others may have been missed as well. A node that has not found any of its own yet counts as known.
func (d *Directory) Versions() clusterversion.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	seenAt, found := d.seenAt[d.own.Node]
	recent := time.Since(seenAt) < ownRecordAge
	view := clusterversion.View{
		Lowest: d.own.version(), Highest: d.own.version(),
		Known:   isClosed(d.loaded) && (recent || !found),
		Current: recent && found && d.isSettled(),
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
