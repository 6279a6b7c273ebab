package dispatcher

import (
	"reflect"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/message"
)

// announcement is the digest that a cell last announced to the cluster.
type announcement struct {
	digest scheduler.Digest
	sentAt time.Time
}

// digest returns the cell's state as other nodes see it.
func (c *cell) digest() message.CellDigest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.digestMessage(c.scheduler.Digest())
}

func (c *cell) digestMessage(digest scheduler.Digest) message.CellDigest {
	return message.CellDigest{
		Cell:     c.id,
		Node:     c.dispatcher.options.NodeID,
		Address:  c.dispatcher.options.PeerAddress,
		Sequence: c.dispatcher.sequence.Add(1),
		Engines:  digest.Engines,
		Slots:    digest.Slots,
		Running:  digest.Running,
		Queued:   digest.Queued,
		Models:   digest.Models,
	}
}

// announce sends the digest of an owned cell to the cluster on change, or after
// announceMaximumInterval.
func (c *cell) announce(now time.Time) {
	digest, due := c.dueAnnouncement(now)
	if due {
		c.dispatcher.options.Announcer.AnnounceCell(digest)
	}
}

func (c *cell) dueAnnouncement(now time.Time) (message.CellDigest, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	digest := c.scheduler.Digest()
	c.dispatcher.metrics.observeCell(c.id, &digest)
	elapsed := now.Sub(c.announced.sentAt)
	if !c.owned || c.draining || elapsed < announceMinimumInterval {
		return message.CellDigest{}, false
	}
	changed := !reflect.DeepEqual(digest, c.announced.digest)
	if !changed && elapsed < announceMaximumInterval {
		return message.CellDigest{}, false
	}
	c.announced = announcement{digest: digest, sentAt: now}
	return c.digestMessage(digest), true
}
