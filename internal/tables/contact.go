package tables

import (
	"context"
	"time"
)

const (
	// probeAfter is the age of the last log contact from which this node reads
	// to the log's end itself: the stream's long poll may wait for a record for
	// longer than MaxLogContactAge.
	probeAfter = 3 * time.Second
	// probeTimeout bounds one such read.
	probeTimeout = 4 * time.Second
)

// LogContact returns when this node last read the config stream to its end, or
// the zero time if it never did.
func (t *Tables) LogContact() time.Time {
	contact := t.options.LastLogContact()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lastProbe.After(contact) {
		return t.lastProbe
	}
	return contact
}

// announceContact announces each newer log contact to the cluster.
func (t *Tables) announceContact(ctx context.Context) error {
	var announced time.Time
	for {
		if contact := t.LogContact(); contact.After(announced) {
			t.options.Announcer.AnnounceLogContact(contact)
			announced = contact
		}
		if err := sleep(ctx, contactPollInterval); err != nil {
			return err
		}
	}
}

// probeLog reads to the log's end whenever the last contact is older than probeAfter.
func (t *Tables) probeLog(ctx context.Context) error {
	for {
		if time.Since(t.LogContact()) > probeAfter {
			t.probeOnce(ctx)
		}
		if err := sleep(ctx, contactPollInterval); err != nil {
			return err
		}
	}
}

func (t *Tables) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// Records appended during the read may be missed, so the contact dates from its start.
	startedAt := time.Now()
	if t.options.Stream.CatchUp(ctx) != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastProbe = startedAt
}
