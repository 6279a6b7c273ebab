package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	request = Request{Target: "/crashing"}.Fingerprint()
	began   = time.Unix(1_000_000, 0)
)

func crash(engine string, at time.Duration, offset int64) Record {
	return Record{Fingerprint: request, Engine: engine, Live: true, At: began.Add(at), Offset: offset}
}

func trial(name string, at time.Duration, offset int64) Record {
	return Record{Fingerprint: request, Trial: name, At: began.Add(at), Offset: offset}
}

func ledgerOf(records ...Record) *Ledger {
	ledger := NewLedger()
	for _, record := range records {
		ledger.Put(record)
	}
	return ledger
}

func TestRequestIsHeldAtRequestLimit(t *testing.T) {
	ledger := ledgerOf(crash("a", 0, 0))
	now := began.Add(time.Second)
	assert.Equal(t, ledger.Status(request, now).Crashes, 1)
	assert.Assert(t, !ledger.Status(request, now).Held(RequestLimit, now))

	ledger.Put(crash("b", time.Second, 1))
	status := ledger.Status(request, now)
	assert.Assert(t, status.Held(RequestLimit, now))
	assert.Assert(t, !status.Held(RequestLimit+1, now))
	assert.Equal(t, status.HeldUntil, began.Add(time.Second+firstHold))

	other := Request{Target: "/other"}.Fingerprint()
	assert.Equal(t, ledger.Status(other, now), Status{})
}

// Guards against a live request that is held for what older builds recorded under items.
func TestCrashesOfOlderBuildsCountForNothing(t *testing.T) {
	unmarked := func(engine string, offset int64) Record {
		record := crash(engine, 0, offset)
		record.Live = false
		return record
	}
	ledger := ledgerOf(unmarked("a", 0), unmarked("b", 1), unmarked("c", 2), crash("d", 0, 3))
	status := ledger.Status(request, began)
	assert.Equal(t, status.Crashes, 1)
	assert.Assert(t, !status.Held(RequestLimit, began))
	assert.Equal(t, len(ledger.Expired(began.Add(holdTTL))), 0, "older builds still count them")

	assert.Assert(t, ledger.Put(crash("a", 0, Unlogged)), "the same crash under a live request")
	assert.Assert(t, !ledger.Put(unmarked("a", 0)))
	assert.Equal(t, ledger.Status(request, began).Crashes, 2)
	assert.Assert(t, ledger.Logged(crash("a", 0, 0)))
}

func TestPutCountsSameCrashOnce(t *testing.T) {
	ledger := NewLedger()
	assert.Assert(t, ledger.Put(crash("a", 0, Unlogged)))
	assert.Assert(t, !ledger.Put(crash("a", time.Millisecond, 4)))
	assert.Equal(t, ledger.Status(request, began).Crashes, 1)
	assert.Assert(t, ledger.Logged(crash("a", 0, 0)))
}

func TestHoldGrowsWithEachEngineUpToLongestHold(t *testing.T) {
	ledger := NewLedger()
	hold := firstHold
	for i := range 12 {
		ledger.Put(crash(fmt.Sprint(i), 0, int64(i)))
		if i+1 < RequestLimit {
			continue
		}
		assert.Equal(t, ledger.Status(request, began).HeldUntil, began.Add(hold), "%d engines", i+1)
		hold = min(hold*holdFactor, longestHold)
	}
}

func TestOnlyFirstClaimAfterHoldIsGranted(t *testing.T) {
	holdEnd := firstHold
	ledger := ledgerOf(crash("a", 0, 0), crash("b", 0, 1),
		trial("early", holdEnd-time.Second, 2), trial("first", holdEnd, 3), trial("second", holdEnd, 4))
	status := ledger.Status(request, began.Add(holdEnd))
	assert.Equal(t, status.Granted, "first")
	assert.Assert(t, status.Held(RequestLimit, began.Add(holdEnd)), "a granted trial starts a new hold")
	assert.Equal(t, status.HeldUntil, began.Add(holdEnd+holdFactor*firstHold))
}

func TestUnloggedClaimIsNotGranted(t *testing.T) {
	ledger := ledgerOf(crash("a", 0, 0), crash("b", 0, 1), trial("claim", firstHold, Unlogged))
	assert.Equal(t, ledger.Status(request, began.Add(firstHold)).Granted, "")
}

func TestDroppingAllRecordsClearsRequest(t *testing.T) {
	ledger := ledgerOf(crash("a", 0, 0), crash("b", 0, 1), trial("claim", firstHold, 2))
	for _, record := range ledger.Records(request) {
		ledger.Drop(request, record.Key())
	}
	assert.Equal(t, ledger.Len(), 0)
	assert.Equal(t, ledger.Status(request, began), Status{})
}

func TestExpiredRecordsAreIgnored(t *testing.T) {
	suspected := ledgerOf(crash("a", 0, 0))
	assert.Equal(t, len(suspected.Expired(began.Add(suspicionTTL))), 0)
	assert.Equal(t, len(suspected.Expired(began.Add(suspicionTTL+time.Second))), 1)
	assert.Equal(t, suspected.Status(request, began.Add(suspicionTTL+time.Second)), Status{})

	held := ledgerOf(crash("a", 0, 0), crash("b", 0, 1))
	assert.Equal(t, len(held.Expired(began.Add(firstHold+holdTTL))), 0)
	assert.Equal(t, len(held.Expired(began.Add(firstHold+holdTTL+time.Second))), 2)
}

func TestLedgerEvictsLeastRecentlySeenRequests(t *testing.T) {
	ledger := NewLedger()
	for i := range maxEntries + 1 {
		ledger.Put(Record{
			Fingerprint: Request{Target: fmt.Sprint(i)}.Fingerprint(), Engine: "e",
			At: began.Add(time.Duration(i) * time.Second), Offset: int64(i),
		})
	}
	assert.Assert(t, ledger.Len() <= maxEntries)
	newest := Request{Target: fmt.Sprint(maxEntries)}.Fingerprint()
	oldest := Request{Target: "0"}.Fingerprint()
	assert.Equal(t, len(ledger.Records(newest)), 1)
	assert.Equal(t, len(ledger.Records(oldest)), 0)
}

// Guards against nodes that disagree although they have read the same records.
func TestStatusDoesNotDependOnOrderOrDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "records")
		var records []Record
		for i := range count {
			at := time.Duration(rapid.IntRange(0, 600).Draw(t, "at")) * time.Second
			if rapid.Bool().Draw(t, "trial") {
				records = append(records, trial(fmt.Sprint("t", i), at, int64(i)))
			} else {
				records = append(records, crash(fmt.Sprint("e", i), at, int64(i)))
			}
		}
		now := began.Add(20 * time.Minute)
		want := ledgerOf(records...).Status(request, now)
		shuffled := append(append([]Record(nil), records...), records...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(t, ledgerOf(shuffled...).Status(request, now), want)
	})
}

// Guards against sending a crashing request again before its quarantine ends, or more than once after it.
func TestGrantedTrialsAreSeparatedByHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := ledgerOf(crash("a", 0, 0), crash("b", 0, 1))
		var grantedAt []time.Duration
		last := ""
		for i := range rapid.IntRange(1, 20).Draw(t, "claims") {
			at := time.Duration(rapid.IntRange(0, 3600).Draw(t, "at")) * time.Second
			ledger.Put(trial(fmt.Sprint(i), at, int64(i+2)))
			if granted := ledger.Status(request, began).Granted; granted != last {
				last, grantedAt = granted, append(grantedAt, at)
			}
		}
		for i, at := range grantedAt {
			earliest := firstHold
			for range i {
				earliest *= holdFactor
			}
			if i > 0 {
				earliest += grantedAt[i-1]
			}
			assert.Assert(t, at >= earliest, "trial %d at %s, expected %s or later", i, at, earliest)
		}
	})
}
