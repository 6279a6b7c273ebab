package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RequestLimit is the number of engines that crash while running a live request before it is
	// quarantined. It is above one, since a single engine may have crashed for another reason,
	// such as a failure of its machine.
	RequestLimit = 2

	// firstHold is the duration of the quarantine at RequestLimit. Each further crash and each
	// trial multiplies it by holdFactor, up to longestHold.
	firstHold   = time.Minute
	holdFactor  = 4
	longestHold = 24 * time.Hour

	// suspicionTTL is how long the records of a request below RequestLimit are kept, holdTTL how
	// long those of a quarantined request are kept after its quarantine.
	suspicionTTL = time.Hour
	holdTTL      = 24 * time.Hour

	// maxEntries bounds the number of requests. Above it the least recently seen ones are evicted.
	maxEntries = 20_000
	// evictedFraction is the fraction of requests that is evicted at a time.
	evictedFraction = 0.1
)

// Unlogged is the offset of a record that was not read from the log yet.
const Unlogged = int64(1<<63 - 1)

// Record is either an engine crash while running a request or a claim to a trial of the request.
type Record struct {
	Fingerprint Fingerprint
	// Engine is the incarnation ID of the engine that crashed while running the request, so that
	// crashes of several incarnations count separately; empty for a claim.
	Engine string
	// Live is true for a crash under a live request. Other crashes count for nothing: older builds also
	// record those under items of batch jobs and their scoring calls, without saying so.
	Live bool
	// Trial identifies a claim to send the quarantined request once; empty for a crash.
	Trial string
	// At is the wall-clock time of the node that created the record.
	At time.Time
	// Offset is the record's offset in the log, or Unlogged.
	Offset int64
}

// Key returns the key of the record among those of its request.
func (r Record) Key() RecordKey { return RecordKey{Engine: r.Engine, Trial: r.Trial} }

// RecordKey identifies a record among those of its request. Exactly one of its fields is set.
type RecordKey struct {
	Engine string
	Trial  string
}

// Status is the state of a request.
type Status struct {
	// Crashes counts the engines that crashed while running the request.
	Crashes int
	// HeldUntil is the end of the quarantine once Crashes has reached its limit.
	HeldUntil time.Time
	// Granted is the newest granted trial; empty for none.
	Granted string
}

// Held reports whether the request is quarantined.
func (s Status) Held(limit int, now time.Time) bool {
	return s.Crashes >= limit && now.Before(s.HeldUntil)
}

// TrialAllowed reports whether the quarantine has ended, so that a trial of the request may be granted.
func (s Status) TrialAllowed(limit int, now time.Time) bool {
	return s.Crashes >= limit && !now.Before(s.HeldUntil)
}

// Ledger holds the crashes and trials of all requests.
//
// Invariant: the records of a request are a set, and its state depends on their offsets
// and times only. Nodes with the same records agree regardless of the order of arrival, and
// duplicates have no effect. It is not safe for concurrent use.
type Ledger struct {
	entries map[Fingerprint]map[RecordKey]Record
}

func NewLedger() *Ledger { return &Ledger{entries: make(map[Fingerprint]map[RecordKey]Record)} }

// Len returns the number of requests.
func (l *Ledger) Len() int { return len(l.entries) }

// Put adds a record and reports whether it changed the crashes or trials known. A known record without an
// offset gets the offset, and a known crash stays live once a record says that it was.
func (l *Ledger) Put(record Record) bool {
	entry, found := l.entries[record.Fingerprint]
	if !found {
		if len(l.entries) >= maxEntries {
			l.evict()
		}
		entry = make(map[RecordKey]Record)
		l.entries[record.Fingerprint] = entry
	}
	known, repeated := entry[record.Key()]
	if !repeated {
		entry[record.Key()] = record
		return true
	}
	becameLive := record.Live && !known.Live
	if record.Offset < known.Offset {
		known.At, known.Offset = record.At, record.Offset
	}
	known.Live = known.Live || record.Live
	entry[record.Key()] = known
	return becameLive
}

func (l *Ledger) Drop(fingerprint Fingerprint, key RecordKey) {
	entry := l.entries[fingerprint]
	delete(entry, key)
	if len(entry) == 0 {
		delete(l.entries, fingerprint)
	}
}

func (l *Ledger) Records(fingerprint Fingerprint) []Record {
	var records []Record
	for _, record := range l.entries[fingerprint] {
		records = append(records, record)
	}
	return records
}

// Logged reports whether a record's offset in the log is known.
func (l *Ledger) Logged(record Record) bool {
	known, found := l.entries[record.Fingerprint][record.Key()]
	return found && known.Offset != Unlogged
}

// Status returns the state of a request at the given time.
func (l *Ledger) Status(fingerprint Fingerprint, now time.Time) Status {
	records := l.Records(fingerprint)
	if all, last := fold(records); expired(all, last, now) {
		return Status{}
	}
	status, _ := fold(slices.DeleteFunc(records, Record.countsForNothing))
	return status
}

// countsForNothing reports whether the record is a crash that is not known to be one under a live request.
func (r Record) countsForNothing() bool { return r.Engine != "" && !r.Live }

// Expired returns the records that are no longer needed, also by nodes of older builds, for which all crashes count.
func (l *Ledger) Expired(now time.Time) []Record {
	var records []Record
	for fingerprint := range l.entries {
		requestRecords := l.Records(fingerprint)
		if status, last := fold(requestRecords); expired(status, last, now) {
			records = append(records, requestRecords...)
		}
	}
	return records
}

// expired reports whether the records of a request are no longer needed; last is the time
// of the newest one.
func expired(status Status, last, now time.Time) bool {
	if status.Crashes < RequestLimit {
		return now.Sub(last) > suspicionTTL
	}
	return now.Sub(status.HeldUntil) > holdTTL
}

// fold returns the state that follows from the records of one request, and the time of the newest
// one. The first claim in log order after the end of a quarantine is granted.
func fold(records []Record) (status Status, last time.Time) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), a.At.Compare(b.At))
	})
	trials := 0
	for _, record := range records {
		switch {
		case record.Engine != "":
			status.Crashes++
		case status.TrialAllowed(RequestLimit, record.At) && record.Offset != Unlogged:
			trials++
			status.Granted = record.Trial
		default:
			continue
		}
		if record.At.After(last) {
			last = record.At
		}
		status.HeldUntil = last.Add(holdDuration(status.Crashes + trials))
	}
	return status, last
}

// holdDuration returns the duration of the quarantine after the given number of crashes and trials.
func holdDuration(count int) time.Duration {
	hold := firstHold
	for range count - RequestLimit {
		if hold *= holdFactor; hold >= longestHold {
			return longestHold
		}
	}
	return hold
}

// evict drops the least recently seen requests.
func (l *Ledger) evict() {
	type lastSeen struct {
		fingerprint Fingerprint
		last        time.Time
	}
	all := make([]lastSeen, 0, len(l.entries))
	for fingerprint := range l.entries {
		_, last := fold(l.Records(fingerprint))
		all = append(all, lastSeen{fingerprint, last})
	}
	slices.SortFunc(all, func(a, b lastSeen) int { return a.last.Compare(b.last) })
	for _, each := range all[:max(1, int(evictedFraction*float64(len(all))))] {
		delete(l.entries, each.fingerprint)
	}
}
