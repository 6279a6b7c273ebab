package leadership

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// A longer run: go test ./internal/leadership -run TestRandomFaults -hunt-seconds 120 -hunt-seeds 12.
var (
	faultSeconds = flag.Int("hunt-seconds", 6, "duration of each run in seconds")
	faultSeeds   = flag.Int("hunt-seeds", 1, "number of seeds to run for each configuration")
	firstSeed    = flag.Uint64("hunt-first", 1, "first seed")
)

// logFault is how a machine's calls to the log fail.
type logFault string

const (
	noFault         logFault = "works"
	refused         logFault = "refused"
	answerLost      logFault = "lost answers"
	hanging         logFault = "hanging"
	takesEffectLate logFault = "late"
	slow            logFault = "slow"
	anyFault        logFault = "anything"
)

const (
	// appendTimeout and readTimeout are how long the log client waits for an answer.
	appendTimeout = 1500 * time.Millisecond
	readTimeout   = 1200 * time.Millisecond
	// drawRange bounds the random number that accompanies each call.
	drawRange = 1000
)

// faultyMachine simulates a machine: its connection to the log, its clock, and whether it is frozen. It implements
// eventlog.Log.
type faultyMachine struct {
	log *memlog.Log
	// drift is how much the clock gains, as a fraction of the elapsed time; negative if it loses.
	drift  float64
	origin time.Time
	frozen sync.RWMutex

	mu      sync.Mutex
	random  *rand.Rand
	appends logFault
	reads   logFault
	changed chan struct{}
}

func (m *faultyMachine) waitWhileFrozen() {
	m.frozen.RLock()
	defer m.frozen.RUnlock()
}

// now returns the time of the machine's clock.
func (m *faultyMachine) now() time.Time {
	m.waitWhileFrozen()
	real := boottime.Now()
	return m.origin.Add(time.Duration(float64(real.Sub(m.origin)) * (1 + m.drift)))
}

// callFaults returns the faults in force, a channel that is closed when they change, and a random number.
func (m *faultyMachine) callFaults() (appends, reads logFault, changed <-chan struct{}, draw int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.appends, m.reads, m.changed, m.random.IntN(drawRange)
}

func (m *faultyMachine) setFaults(appends, reads logFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appends, m.reads = appends, reads
	close(m.changed)
	m.changed = make(chan struct{})
}

// Append implements eventlog.Log. The elector must not use it; if it does, the unconditional append takes effect and
// the invariants fail.
func (m *faultyMachine) Append(ctx context.Context, name eventlog.Partition, records [][]byte) (int64, error) {
	return m.AppendAt(ctx, name, unconditional, records)
}

func (m *faultyMachine) forward(name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	if at == unconditional {
		return m.log.Append(context.Background(), name, records)
	}
	return m.log.AppendAt(context.Background(), name, at, records)
}

// AppendAt implements eventlog.Log.
func (m *faultyMachine) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	m.waitWhileFrozen()
	current, _, _, draw := m.callFaults()
	if current == anyFault {
		faults := []logFault{noFault, noFault, answerLost, takesEffectLate, hanging, refused, slow}
		current = faults[draw%len(faults)]
	}
	defer m.waitWhileFrozen()
	switch current {
	case refused:
		return 0, eventlog.ErrNotPerformed
	case answerLost:
		_, _ = m.forward(name, at, records)
		return 0, eventlog.ErrOutcomeUnknown
	case hanging:
		_, _ = m.forward(name, at, records)
		retry.Sleep(ctx, appendTimeout)
		return 0, eventlog.ErrOutcomeUnknown
	case takesEffectLate:
		// Takes effect up to 3 s later if the condition still holds, even if the sender has ended.
		time.AfterFunc(time.Duration(draw)*3*time.Millisecond, func() {
			_, _ = m.forward(name, at, records)
		})
		retry.Sleep(ctx, appendTimeout)
		return 0, eventlog.ErrOutcomeUnknown
	case slow:
		time.Sleep(time.Duration(draw/4) * time.Millisecond)
		offset, err := m.forward(name, at, records)
		time.Sleep(time.Duration(draw/4) * time.Millisecond)
		if ctx.Err() != nil {
			return 0, eventlog.ErrOutcomeUnknown
		}
		return offset, err
	}
	return m.forward(name, at, records)
}

// Read implements eventlog.Log.
func (m *faultyMachine) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	m.waitWhileFrozen()
	_, current, changed, draw := m.callFaults()
	defer m.waitWhileFrozen()
	switch current {
	case refused:
		return eventlog.Batch{}, eventlog.ErrNotPerformed
	case hanging:
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(readTimeout):
			return eventlog.Batch{}, eventlog.ErrNotPerformed
		}
	case takesEffectLate:
		batch, err := m.log.Read(ctx, name, from, limit, wait)
		time.Sleep(time.Duration(draw*3/2) * time.Millisecond)
		return batch, err
	}
	return m.log.Read(ctx, name, from, limit, wait)
}

// PutKeyed implements eventlog.Log.
func (m *faultyMachine) PutKeyed(context.Context, string, []eventlog.KeyedRecord) error {
	panic("the election uses no keyed topic")
}

// Newest implements eventlog.Log.
func (m *faultyMachine) Newest(context.Context, string) (eventlog.KeyedBatch, error) {
	panic("the election uses no keyed topic")
}

// ReadKeyed implements eventlog.Log.
func (m *faultyMachine) ReadKeyed(context.Context, string, int64, time.Duration) (eventlog.KeyedBatch, error) {
	panic("the election uses no keyed topic")
}

// arrival is an order as received by its engine.
type arrival struct {
	engine, node string
	epoch        int64
	// sentAt is when the order was sent, arrivedAt when it arrived.
	sentAt, arrivedAt time.Time
}

// validPeriod is the period in which a lease was observed to be valid.
type validPeriod struct{ first, last time.Time }

// faultRun is one run of three machines with random faults. It records their orders and leases.
type faultRun struct {
	t     *testing.T
	log   *memlog.Log
	quiet time.Duration
	ttl   time.Duration
	fence bool

	mu       sync.Mutex
	arrivals []arrival
	valid    map[int64]*validPeriod
	holders  map[int64]string
	wait     sync.WaitGroup
}

// startProcess starts a process on a machine. stop ends it; if planned is true, it releases the lease first.
func (r *faultRun) startProcess(machine *faultyMachine, node string, number int, seed uint64) (stop func(planned bool)) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	ctx, cancel := context.WithCancel(context.Background())
	holder := fmt.Sprintf("%s-%d", node, number)
	var ended atomic.Bool
	var elector *Elector
	elector = New(machine, Options{
		Holder: holder, Node: node, Address: node + ":7000", TTL: r.ttl, QuietPeriod: r.quiet, EnginesFence: r.fence,
		Logger: zerolog.Nop(),
	}, func(ctx context.Context, term Term) {
		var orders sync.WaitGroup
		for i := range 4 {
			seed := random.Uint64()
			orders.Go(func() {
				r.sendOrders(ctx, &ended, term, node, holder, fmt.Sprint("e", i), rand.New(rand.NewPCG(seed, 1)))
			})
		}
		orders.Go(func() { r.recordValidity(ctx, elector, term.Epoch) })
		orders.Wait()
	})
	elector.now = machine.now
	r.wait.Go(func() { _ = elector.Run(ctx) })
	return func(planned bool) {
		if planned {
			stopContext, done := context.WithTimeout(ctx, 1500*time.Millisecond)
			elector.Stop(stopContext)
			done()
		}
		ended.Store(true)
		cancel()
	}
}

// sendOrders sends orders to an engine until the term ends.
func (r *faultRun) sendOrders(ctx context.Context, ended *atomic.Bool, term Term, node, holder, engine string, random *rand.Rand) {
	for ctx.Err() == nil {
		permit, err := term.Permit(ctx, engine)
		if err == nil {
			// Dialing takes time.
			if random.IntN(2) == 0 {
				time.Sleep(time.Duration(300+random.IntN(250)) * time.Millisecond)
			}
			sentAt := boottime.Now()
			if permit.Valid() && !ended.Load() {
				r.mu.Lock()
				r.arrivals = append(r.arrivals, arrival{
					engine: engine, node: node, epoch: term.Epoch, sentAt: sentAt,
					arrivedAt: sentAt.Add(time.Duration(random.IntN(2)*random.IntN(500)) * time.Millisecond),
				})
				if known := r.holders[term.Epoch]; known != "" && known != holder {
					r.t.Errorf("epoch %d has two holders: %s and %s", term.Epoch, known, holder)
				}
				r.holders[term.Epoch] = holder
				r.mu.Unlock()
			}
		}
		time.Sleep(time.Duration(10+random.IntN(100)) * time.Millisecond)
	}
}

// recordValidity records the period in which a lease is observed to be valid. It was valid at some time between the two
// clock readings, so the recorded period is not longer than the actual one.
func (r *faultRun) recordValidity(ctx context.Context, elector *Elector, epoch int64) {
	for ctx.Err() == nil {
		before := boottime.Now()
		valid := elector.Valid(epoch)
		after := boottime.Now()
		if valid {
			r.mu.Lock()
			period := r.valid[epoch]
			if period == nil {
				period = &validPeriod{first: after}
				r.valid[epoch] = period
			}
			period.last = before
			r.mu.Unlock()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// check verifies the invariants and returns the shortest time between orders of two machines to one engine.
func (r *faultRun) check(tolerance time.Duration) (shortest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for olderEpoch, older := range r.valid {
		for newerEpoch, newer := range r.valid {
			if olderEpoch < newerEpoch && older.last.After(newer.first) {
				r.t.Errorf("leases overlap: epoch %d (%s) is still valid %s after the start of epoch %d (%s)",
					olderEpoch, r.holders[olderEpoch], older.last.Sub(newer.first), newerEpoch, r.holders[newerEpoch])
			}
		}
	}
	shortest = time.Hour
	sort.Slice(r.arrivals, func(i, j int) bool { return r.arrivals[i].arrivedAt.Before(r.arrivals[j].arrivedAt) })
	latest := make(map[string]arrival)
	for _, each := range r.arrivals {
		before, found := latest[each.engine]
		latest[each.engine] = each
		if !found {
			continue
		}
		if each.epoch < before.epoch {
			r.t.Errorf("%s: order with epoch %d of %s arrives after one with epoch %d of %s", each.engine, each.epoch, each.node, before.epoch, before.node)
		}
		if gap := each.arrivedAt.Sub(before.arrivedAt); each.node != before.node {
			shortest = min(shortest, gap)
			if !r.fence && gap < r.quiet-tolerance {
				r.t.Errorf("%s: order of %s (%d) arrives %s after that of %s (%d)", each.engine, each.node, each.epoch, gap, before.node, before.epoch)
			}
		}
	}
	return shortest
}

// run starts three machines, injects faults into each independently, and waits for all to end.
func (r *faultRun) run(seed uint64, duration time.Duration, clockDrift float64, trims bool) {
	random := rand.New(rand.NewPCG(seed, 99))
	r.valid, r.holders, r.log = make(map[int64]*validPeriod), make(map[int64]string), memlog.New()
	appends := []logFault{noFault, noFault, refused, answerLost, hanging, takesEffectLate, slow, anyFault, anyFault}
	reads := []logFault{noFault, noFault, noFault, refused, hanging, takesEffectLate, hanging}
	var machines sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range 3 {
		node := fmt.Sprint("n", i)
		seed := random.Uint64()
		machine := &faultyMachine{
			log: r.log, drift: clockDrift * float64(i-1), origin: boottime.Now(), random: rand.New(rand.NewPCG(seed, 5)),
			appends: noFault, reads: noFault, changed: make(chan struct{}),
		}
		machines.Go(func() {
			machineRandom := rand.New(rand.NewPCG(seed, 6))
			number := 1
			stop := r.startProcess(machine, node, number, seed)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(50+machineRandom.IntN(500)) * time.Millisecond)
				switch machineRandom.IntN(14) {
				case 0: // restart after a kill or a planned stop
					stop(machineRandom.IntN(2) == 0)
					number++
					stop = r.startProcess(machine, node, number, seed)
				case 1, 2: // freeze
					machine.frozen.Lock()
					time.Sleep(time.Duration(machineRandom.IntN(1500)) * time.Millisecond)
					machine.frozen.Unlock()
				case 3, 4, 5, 6:
					machine.setFaults(noFault, noFault)
				case 7:
					if trims {
						name := eventlog.Partition{Topic: topic}
						r.log.Trim(name, r.log.End(name)-int64(machineRandom.IntN(3)))
					}
				default:
					machine.setFaults(appends[machineRandom.IntN(len(appends))], reads[machineRandom.IntN(len(reads))])
				}
			}
			machine.setFaults(noFault, noFault)
			stop(false)
		})
	}
	machines.Wait()
	r.wait.Wait()
}

// TestRandomFaults checks that leases do not overlap, that each epoch has one holder, that an engine receives no order
// of an earlier epoch after one of a later epoch, and that orders of two machines are separated by the quiet period.
// Machines freeze, restart and have drifting clocks; the log rejects, loses, delays and trims records.
func TestRandomFaults(t *testing.T) {
	duration := time.Duration(*faultSeconds) * time.Second
	for seed := *firstSeed; seed < *firstSeed+uint64(*faultSeeds); seed++ {
		for _, test := range []struct {
			name       string
			ttl, quiet time.Duration
			clockDrift float64
			trims      bool
		}{
			{"lease 0.5s", 500 * time.Millisecond, 300 * time.Millisecond, 0, true},
			{"clock drift", 500 * time.Millisecond, 300 * time.Millisecond, 0.02, true},
			{"quiet 0", 500 * time.Millisecond, 0, 0, true},
			{"no trims", 800 * time.Millisecond, 600 * time.Millisecond, 0, false},
		} {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				r := &faultRun{t: t, ttl: test.ttl, quiet: test.quiet}
				r.run(seed, duration, test.clockDrift, test.trims)
				tolerance := time.Duration(2*test.clockDrift*float64(test.quiet+maxArrivalDelay)) + time.Millisecond
				shortest := r.check(tolerance)
				t.Logf("%d orders, %d terms with a lease, shortest time between orders of two machines %s", len(r.arrivals), len(r.valid), shortest)
			})
		}
	}
}
