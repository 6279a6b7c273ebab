package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RequestLimit is how many engines may end under a live request before it is kept
	// away from them: a single one is most often a machine that failed, and two in a row are
	// what one exchange may ask.
	RequestLimit = 2
	// ItemLimit is the same for items of batch jobs. They run for seconds beside others of
	// their engine, all of which are lost with it: one engine more, at which the item began
	// apart from others, decides between them. SharedItemLimit holds where none of the ends
	// was such a one.
	ItemLimit       = 3
	SharedItemLimit = 5

	// firstHold is how long a request is kept away once two engines have ended under it;
	// each engine more, and each trial, multiplies it by holdFactor, up to longestHold.
	firstHold   = time.Minute
	holdFactor  = 4
	longestHold = 24 * time.Hour

	// suspicionLife is how long a single engine that ended under a request is remembered,
	// holdMemory how long a request is remembered beyond the time for which it was held.
	suspicionLife = time.Hour
	holdMemory    = 24 * time.Hour

	// maxEntries bounds the requests that are remembered; beyond it those go that were seen
	// last a long time ago.
	maxEntries = 20_000
	// evictedShare is the part of them that goes then.
	evictedShare = 0.1
)

// Unlogged is the offset of a record that is not in the log yet, or was not read back.
const Unlogged = int64(1<<63 - 1)

// Record is one observation of a request.
type Record struct {
	Fingerprint Fingerprint
	// Engine is the incarnation of the engine that ended while it ran the request, as
	// incarnation.ID writes it, so that each end counts, also where the engine starts again
	// under its ID; empty in a trial.
	Engine string
	// Isolated: nothing else began at the engine shortly before.
	Isolated bool
	// Trial names a claim to send the request once, although it is held; empty in an
	// observed end.
	Trial string
	// At is the time of day of the node that made the record.
	At time.Time
	// Offset is the record's place in the log, or Unlogged.
	Offset int64
}

// Name names the record among those of its request.
func (r Record) Name() Name { return Name{Engine: r.Engine, Trial: r.Trial} }

// Name names a record among those of its request: one of the two is empty.
type Name struct {
	Engine string
	Trial  string
}

// Standing is what is known of a request.
type Standing struct {
	// Crashes counts the engines that ended under it.
	Crashes int
	// Isolated counts those of them at which nothing else began shortly before.
	Isolated int
	// HeldUntil is the time until which it is kept away from engines once Crashes has
	// reached its limit.
	HeldUntil time.Time
	// Granted names the newest trial that was granted; empty for none.
	Granted string
}

// Held tells whether the request is kept away from engines.
func (s Standing) Held(limit int, now time.Time) bool {
	return s.Crashes >= limit && now.Before(s.HeldUntil)
}

// ItemHeld tells whether an item of a batch job is kept away from engines.
func (s Standing) ItemHeld(now time.Time) bool {
	blamed := s.Crashes >= ItemLimit && s.Isolated > 0 || s.Crashes >= SharedItemLimit
	return blamed && now.Before(s.HeldUntil)
}

// ItemSuspect tells whether an item is to begin apart from others.
func (s Standing) ItemSuspect() bool { return s.Crashes >= ItemLimit-1 }

// OnTrial tells whether the request may be sent once more, by whoever is granted it.
func (s Standing) OnTrial(limit int, now time.Time) bool {
	return s.Crashes >= limit && !now.Before(s.HeldUntil)
}

// Ledger holds what is known of all requests under which engines ended.
//
// Invariant: the records of a request are a set, and what follows from them depends on
// their offsets and times only. So nodes that have read the same records agree,
// whatever the order in which they came, and a record that comes twice changes
// nothing. It is not safe for concurrent use.
type Ledger struct {
	entries map[Fingerprint]map[Name]Record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[Fingerprint]map[Name]Record)} }

// Len returns the number of requests known.
func (l *Ledger) Len() int { return len(l.entries) }

// Put adds a record; it reports whether it was new. One that was known without its
// place in the log gets it.
func (l *Ledger) Put(record Record) bool {
	entry, found := l.entries[record.Fingerprint]
	if !found {
		if len(l.entries) >= maxEntries {
			l.evict()
		}
		entry = make(map[Name]Record)
		l.entries[record.Fingerprint] = entry
	}
	known, repeated := entry[record.Name()]
	if repeated && known.Offset <= record.Offset {
		return false
	}
	entry[record.Name()] = record
	return !repeated
}

// Drop takes a record out.
func (l *Ledger) Drop(fingerprint Fingerprint, name Name) {
	entry := l.entries[fingerprint]
	delete(entry, name)
	if len(entry) == 0 {
		delete(l.entries, fingerprint)
	}
}

// Records returns the records of a request.
func (l *Ledger) Records(fingerprint Fingerprint) []Record {
	var records []Record
	for _, record := range l.entries[fingerprint] {
		records = append(records, record)
	}
	return records
}

// Logged tells whether a record's place in the log is known.
func (l *Ledger) Logged(record Record) bool {
	known, found := l.entries[record.Fingerprint][record.Name()]
	return found && known.Offset != Unlogged
}

// Standing returns what is known of a request now.
func (l *Ledger) Standing(fingerprint Fingerprint, now time.Time) Standing {
	standing, last := fold(l.Records(fingerprint))
	if expired(standing, last, now) {
		return Standing{}
	}
	return standing
}

// Expired returns the records that need not be remembered any longer.
func (l *Ledger) Expired(now time.Time) []Record {
	var records []Record
	for fingerprint := range l.entries {
		own := l.Records(fingerprint)
		if standing, last := fold(own); expired(standing, last, now) {
			records = append(records, own...)
		}
	}
	return records
}

// expired tells whether a request need not be remembered any longer; last is when it was
// seen last.
func expired(standing Standing, last, now time.Time) bool {
	if standing.Crashes < RequestLimit {
		return now.Sub(last) > suspicionLife
	}
	return now.Sub(standing.HeldUntil) > holdMemory
}

// fold returns what follows from the records of one request, and when it was seen last. A trial
// is granted to the first that asks, in the order of the log, once the hold before is over.
func fold(records []Record) (standing Standing, last time.Time) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), a.At.Compare(b.At))
	})
	trials := 0
	for _, record := range records {
		switch {
		case record.Engine != "":
			standing.Crashes++
			if record.Isolated {
				standing.Isolated++
			}
		case standing.OnTrial(RequestLimit, record.At) && record.Offset != Unlogged:
			trials++
			standing.Granted = record.Trial
		default:
			continue
		}
		if record.At.After(last) {
			last = record.At
		}
		standing.HeldUntil = last.Add(holdTime(standing.Crashes + trials))
	}
	return standing, last
}

// holdTime is how long a request is kept away after its last engine or trial.
func holdTime(count int) time.Duration {
	hold := firstHold
	for range count - RequestLimit {
		if hold *= holdFactor; hold >= longestHold {
			return longestHold
		}
	}
	return hold
}

// evict drops those that were seen longest ago.
func (l *Ledger) evict() {
	type seen struct {
		fingerprint Fingerprint
		last        time.Time
	}
	all := make([]seen, 0, len(l.entries))
	for fingerprint := range l.entries {
		_, last := fold(l.Records(fingerprint))
		all = append(all, seen{fingerprint, last})
	}
	slices.SortFunc(all, func(a, b seen) int { return a.last.Compare(b.last) })
	for _, each := range all[:max(1, int(evictedShare*float64(len(all))))] {
		delete(l.entries, each.fingerprint)
	}
}
