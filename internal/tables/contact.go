package tables

import (
	"context"
	"time"
)

const (
	// probeAfter is the age of the log contact from which on this node asks
	// for the log's end itself: the stream's own read may wait for the next
	// record for longer than ContactLimit.
	probeAfter = 3 * time.Second
	// probeTimeout bounds one such read.
	probeTimeout = 4 * time.Second
)

// LogContact returns when this node last knew the config stream to its end;
// the zero time when it never did.
func (t *Tables) LogContact() time.Time {
	contact := t.options.LastLogContact()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.probed.After(contact) {
		return t.probed
	}
	return contact
}

// announceContact tells the cluster when this node last heard the log.
func (t *Tables) announceContact(ctx context.Context) error {
	var announced time.Time
	for {
		if contact := t.LogContact(); contact.After(announced) {
			t.options.Announcer.AnnounceLogContact(contact)
			announced = contact
		}
		if err := pause(ctx, contactInterval); err != nil {
			return err
		}
	}
}

// probeLog reads to the log's end whenever the last contact has grown old.
func (t *Tables) probeLog(ctx context.Context) error {
	for {
		if time.Since(t.LogContact()) > probeAfter {
			t.probeOnce(ctx)
		}
		if err := pause(ctx, contactInterval); err != nil {
			return err
		}
	}
}

func (t *Tables) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// What the log held when the read began is known afterwards, no more.
	began := time.Now()
	if t.options.Stream.CatchUp(ctx) != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.probed = began
}
