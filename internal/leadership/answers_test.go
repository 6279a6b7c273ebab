package leadership

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// hookLog calls a hook before each conditional append.
type hookLog struct {
	eventlog.Log
	mu     sync.Mutex
	before func(at int64, record lease.Record)
}

func (h *hookLog) set(hook func(int64, lease.Record)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.before = hook
}

func (h *hookLog) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	h.mu.Lock()
	hook := h.before
	h.mu.Unlock()
	if hook != nil {
		var record lease.Record
		if err := msgpack.Unmarshal(records[0], &record); err != nil {
			return 0, err
		}
		hook(at, record)
	}
	return h.Log.AppendAt(ctx, name, at, records)
}

// TestAPermitWaitsForAnOrderReadWhileItsRecordWasWritten: a program that appends without a
// condition records an order of its earlier epoch behind the claim of the next holder, which reads
// of it only as its own order's record meets a conflict.
func TestAPermitWaitsForAnOrderReadWhileItsRecordWasWritten(t *testing.T) {
	log := memlog.New()
	link := &hookLog{Log: log}
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	earlier := first.lastTerm().Epoch
	first.elector.Stop(t.Context())
	first.cancel()
	second := join(t, link, "b", "b1")
	testwait.Until(t, "b leads", second.leads)
	var once sync.Once
	link.set(func(_ int64, record lease.Record) {
		if record.Kind != lease.Order {
			return
		}
		once.Do(func() {
			raw, _ := msgpack.Marshal(&lease.Record{Kind: lease.Order, Holder: "a1", Node: "a", Epoch: earlier, Engines: []string{"e"}})
			_, _ = log.Append(context.Background(), eventlog.Partition{Topic: topic}, [][]byte{raw})
		})
	})
	_, err := second.lastTerm().Permit(t.Context(), "e")
	until := second.lastTerm().QuietUntil("e")
	assert.Assert(t, err != nil || !time.Now().Before(until), "permit given, quiet for another %s", time.Until(until))
}

// conflictLog answers every conditional append with a conflict that names an end already read.
type conflictLog struct {
	eventlog.Log
	on    atomic.Bool
	count atomic.Int64
}

func (c *conflictLog) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	if c.on.Load() {
		c.count.Add(1)
		return 0, &eventlog.ConflictError{End: at}
	}
	return c.Log.AppendAt(ctx, name, at, records)
}

// TestAConflictThatNothingExplainsDoesNotSpin: the log says that it ends where the holder appends.
func TestAConflictThatNothingExplainsDoesNotSpin(t *testing.T) {
	link := &conflictLog{Log: memlog.New()}
	first := join(t, link, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	link.on.Store(true)
	time.Sleep(time.Second)
	assert.Assert(t, link.count.Load() < 100, "%d appends in a second", link.count.Load())
}

// lostClaims lets claims take effect and holds their answers back.
type lostClaims struct {
	eventlog.Log
	hang time.Duration
}

func (l *lostClaims) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	var record lease.Record
	if err := msgpack.Unmarshal(records[0], &record); err != nil {
		return 0, err
	}
	offset, err := l.Log.AppendAt(ctx, name, at, records)
	if record.Kind == lease.Claim {
		select {
		case <-ctx.Done():
		case <-time.After(l.hang):
		}
		return 0, eventlog.ErrOutcomeUnknown
	}
	return offset, err
}

// TestAClaimWhoseAnswerIsLostLeads: it counts as soon as it is read back, before the call that was to
// answer it ends.
func TestAClaimWhoseAnswerIsLostLeads(t *testing.T) {
	log := memlog.New()
	const hang = 1500 * time.Millisecond
	began := time.Now()
	var all []*candidate
	for _, node := range []string{"a", "b", "c"} {
		all = append(all, join(t, &lostClaims{Log: log, hang: hang}, node, node+"1"))
	}
	var led time.Duration
	for time.Since(began) < 6*time.Second && led == 0 {
		for _, each := range all {
			if each.leads() && each.elector.Valid(each.lastTerm().Epoch) {
				led = time.Since(began)
			}
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, led > 0 && led < hang, "led after %s", led)
}
