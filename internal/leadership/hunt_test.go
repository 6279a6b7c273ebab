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

// Longer runs are started by hand: go test ./internal/leadership -run TestRandomFaults -hunt-seconds 120 -hunt-seeds 12.
var (
	huntSeconds = flag.Int("hunt-seconds", 6, "length of a hunt")
	huntSeeds   = flag.Int("hunt-seeds", 1, "hunts of each kind, each with its seed")
	huntFirst   = flag.Uint64("hunt-first", 1, "the first seed")
)

// mode is the fault of a machine's calls to the log.
type mode string

const (
	works    mode = "works"
	refused  mode = "refused"
	lost     mode = "lost answers"
	hanging  mode = "hanging"
	late     mode = "late"
	slow     mode = "slow"
	anything mode = "anything"
)

const (
	// callLimit is how long the adapter waits for the answer to an append, readHangLimit for one to a read.
	callLimit     = 1500 * time.Millisecond
	readHangLimit = 1200 * time.Millisecond
	diceSides     = 1000
)

// huntedMachine is a machine with its connection to the log, its clock, and whether it is frozen.
type huntedMachine struct {
	log    *memlog.Log
	rate   float64
	origin time.Time
	frozen sync.RWMutex

	mu      sync.Mutex
	random  *rand.Rand
	appends mode
	reads   mode
	changed chan struct{}
}

// pass blocks while the machine is frozen.
func (m *huntedMachine) pass() {
	m.frozen.RLock()
	defer m.frozen.RUnlock()
}

// now is the machine's clock, which runs at its own rate.
func (m *huntedMachine) now() time.Time {
	m.pass()
	real := boottime.Now()
	return m.origin.Add(time.Duration(float64(real.Sub(m.origin)) * (1 + m.rate)))
}

func (m *huntedMachine) modes() (appends, reads mode, changed <-chan struct{}, dice int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.appends, m.reads, m.changed, m.random.IntN(diceSides)
}

func (m *huntedMachine) set(appends, reads mode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appends, m.reads = appends, reads
	close(m.changed)
	m.changed = make(chan struct{})
}

// Append implements eventlog.Log. The elector only appends conditionally; this serves mutants that do not, which
// the test must find.
func (m *huntedMachine) Append(ctx context.Context, name eventlog.Partition, records [][]byte) (int64, error) {
	return m.AppendAt(ctx, name, anyEnd, records)
}

func (m *huntedMachine) take(name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	if at == anyEnd {
		return m.log.Append(context.Background(), name, records)
	}
	return m.log.AppendAt(context.Background(), name, at, records)
}

// AppendAt implements eventlog.Log.
func (m *huntedMachine) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	m.pass()
	current, _, _, dice := m.modes()
	if current == anything {
		each := []mode{works, works, lost, late, hanging, refused, slow}
		current = each[dice%len(each)]
	}
	defer m.pass()
	switch current {
	case refused:
		return 0, eventlog.ErrNotDone
	case lost:
		_, _ = m.take(name, at, records)
		return 0, eventlog.ErrOutcomeUnknown
	case hanging:
		_, _ = m.take(name, at, records)
		retry.Sleep(ctx, callLimit)
		return 0, eventlog.ErrOutcomeUnknown
	case late:
		// Takes effect seconds later, if the condition still holds, even if the sender has ended.
		time.AfterFunc(time.Duration(dice)*3*time.Millisecond, func() {
			_, _ = m.take(name, at, records)
		})
		retry.Sleep(ctx, callLimit)
		return 0, eventlog.ErrOutcomeUnknown
	case slow:
		time.Sleep(time.Duration(dice/4) * time.Millisecond)
		offset, err := m.take(name, at, records)
		time.Sleep(time.Duration(dice/4) * time.Millisecond)
		if ctx.Err() != nil {
			return 0, eventlog.ErrOutcomeUnknown
		}
		return offset, err
	}
	return m.take(name, at, records)
}

// Read implements eventlog.Log.
func (m *huntedMachine) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	m.pass()
	_, current, changed, dice := m.modes()
	defer m.pass()
	switch current {
	case refused:
		return eventlog.Batch{}, eventlog.ErrNotDone
	case hanging:
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(readHangLimit):
			return eventlog.Batch{}, eventlog.ErrNotDone
		}
	case late:
		batch, err := m.log.Read(ctx, name, from, limit, wait)
		time.Sleep(time.Duration(dice*3/2) * time.Millisecond)
		return batch, err
	}
	return m.log.Read(ctx, name, from, limit, wait)
}

// PutKeyed implements eventlog.Log.
func (m *huntedMachine) PutKeyed(context.Context, string, []eventlog.KeyedRecord) error {
	panic("the election uses no keyed topic")
}

// Newest implements eventlog.Log.
func (m *huntedMachine) Newest(context.Context, string) (eventlog.KeyedBatch, error) {
	panic("the election uses no keyed topic")
}

// ReadKeyed implements eventlog.Log.
func (m *huntedMachine) ReadKeyed(context.Context, string, int64, time.Duration) (eventlog.KeyedBatch, error) {
	panic("the election uses no keyed topic")
}

// arrival is an order as received by its engine.
type arrival struct {
	engine, node string
	epoch        int64
	left, at     time.Time
}

// spell is the period in which a lease was found valid.
type spell struct{ first, last time.Time }

// hunt is one run: machines, their orders, and their leases.
type hunt struct {
	t     *testing.T
	log   *memlog.Log
	quiet time.Duration
	ttl   time.Duration
	fence bool

	mu       sync.Mutex
	arrivals []arrival
	valid    map[int64]*spell
	holders  map[int64]string
	wait     sync.WaitGroup
}

// process runs one process of a machine until it is killed or stopped.
func (h *hunt) process(link *huntedMachine, node string, number int, seed uint64) (stop func(planned bool)) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	ctx, cancel := context.WithCancel(context.Background())
	holder := fmt.Sprintf("%s-%d", node, number)
	var dead atomic.Bool
	var elector *Elector
	elector = New(link, Options{
		Holder: holder, Node: node, Address: node + ":7000", TTL: h.ttl, Quiet: h.quiet, EnginesFence: h.fence, Logger: zerolog.Nop(),
	}, func(ctx context.Context, term Term) {
		var orders sync.WaitGroup
		for i := range 4 {
			seed := random.Uint64()
			orders.Go(func() { h.order(ctx, &dead, term, node, holder, fmt.Sprint("e", i), rand.New(rand.NewPCG(seed, 1))) })
		}
		orders.Go(func() { h.sample(ctx, elector, term.Epoch) })
		orders.Wait()
	})
	elector.now = link.now
	h.wait.Go(func() { _ = elector.Run(ctx) })
	return func(planned bool) {
		if planned {
			stopping, done := context.WithTimeout(ctx, 1500*time.Millisecond)
			elector.Stop(stopping)
			done()
		}
		dead.Store(true)
		cancel()
	}
}

// order repeatedly orders an engine while the term lasts.
func (h *hunt) order(ctx context.Context, dead *atomic.Bool, term Term, node, holder, engine string, random *rand.Rand) {
	for ctx.Err() == nil {
		permit, err := term.Permit(ctx, engine)
		if err == nil {
			// Dialing takes time.
			if random.IntN(2) == 0 {
				time.Sleep(time.Duration(300+random.IntN(250)) * time.Millisecond)
			}
			left := boottime.Now()
			if permit.Open() && !dead.Load() {
				h.mu.Lock()
				h.arrivals = append(h.arrivals, arrival{
					engine: engine, node: node, epoch: term.Epoch, left: left,
					at: left.Add(time.Duration(random.IntN(2)*random.IntN(500)) * time.Millisecond),
				})
				if known := h.holders[term.Epoch]; known != "" && known != holder {
					h.t.Errorf("token %d of %s and %s", term.Epoch, known, holder)
				}
				h.holders[term.Epoch] = holder
				h.mu.Unlock()
			}
		}
		time.Sleep(time.Duration(10+random.IntN(100)) * time.Millisecond)
	}
}

// sample records when a lease was valid, as a moment between two readings of the clock.
func (h *hunt) sample(ctx context.Context, elector *Elector, epoch int64) {
	for ctx.Err() == nil {
		before := boottime.Now()
		valid := elector.Valid(epoch)
		after := boottime.Now()
		if valid {
			h.mu.Lock()
			s := h.valid[epoch]
			if s == nil {
				s = &spell{first: after}
				h.valid[epoch] = s
			}
			s.last = before
			h.mu.Unlock()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// check returns the shortest time between orders of two machines to one engine.
func (h *hunt) check(tolerance time.Duration) (worst time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for a, one := range h.valid {
		for b, other := range h.valid {
			if a < b && one.last.After(other.first) {
				h.t.Errorf("two leases: %d (%s) valid %s after %d (%s)", a, h.holders[a], one.last.Sub(other.first), b, h.holders[b])
			}
		}
	}
	worst = time.Hour
	sort.Slice(h.arrivals, func(i, j int) bool { return h.arrivals[i].at.Before(h.arrivals[j].at) })
	newest := make(map[string]arrival)
	for _, each := range h.arrivals {
		before, found := newest[each.engine]
		newest[each.engine] = each
		if !found {
			continue
		}
		if each.epoch < before.epoch {
			h.t.Errorf("%s: token %d of %s arrives after %d of %s", each.engine, each.epoch, each.node, before.epoch, before.node)
		}
		if gap := each.at.Sub(before.at); each.node != before.node {
			worst = min(worst, gap)
			if !h.fence && gap < h.quiet-tolerance {
				h.t.Errorf("%s: %s (%d) orders %s after %s (%d)", each.engine, each.node, each.epoch, gap, before.node, before.epoch)
			}
		}
	}
	return worst
}

// run starts three machines, injects independent faults into each, and waits for all to end.
func (h *hunt) run(seed uint64, lasting time.Duration, rates float64, trims bool) {
	random := rand.New(rand.NewPCG(seed, 99))
	h.valid, h.holders, h.log = make(map[int64]*spell), make(map[int64]string), memlog.New()
	appends := []mode{works, works, refused, lost, hanging, late, slow, anything, anything}
	reads := []mode{works, works, works, refused, hanging, late, hanging}
	var machines sync.WaitGroup
	end := time.Now().Add(lasting)
	for i := range 3 {
		node := fmt.Sprint("n", i)
		seed := random.Uint64()
		link := &huntedMachine{
			log: h.log, rate: rates * float64(i-1), origin: boottime.Now(), random: rand.New(rand.NewPCG(seed, 5)),
			appends: works, reads: works, changed: make(chan struct{}),
		}
		machines.Go(func() {
			own := rand.New(rand.NewPCG(seed, 6))
			number := 1
			stop := h.process(link, node, number, seed)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(50+own.IntN(500)) * time.Millisecond)
				switch own.IntN(14) {
				case 0: // killed or stopped and started again
					stop(own.IntN(2) == 0)
					number++
					stop = h.process(link, node, number, seed)
				case 1, 2: // frozen
					link.frozen.Lock()
					time.Sleep(time.Duration(own.IntN(1500)) * time.Millisecond)
					link.frozen.Unlock()
				case 3, 4, 5, 6:
					link.set(works, works)
				case 7:
					if trims {
						name := eventlog.Partition{Topic: topic}
						h.log.Trim(name, h.log.End(name)-int64(own.IntN(3)))
					}
				default:
					link.set(appends[own.IntN(len(appends))], reads[own.IntN(len(reads))])
				}
			}
			link.set(works, works)
			stop(false)
		})
	}
	machines.Wait()
	h.wait.Wait()
}

// TestRandomFaults: no two leases at the same time, no token with two holders, no lower token after a higher one, and
// no orders of two machines within the quiet time, while machines freeze, end, restart, have fast and slow clocks, and
// the log rejects, loses, delays and drops records, independently for each machine.
func TestRandomFaults(t *testing.T) {
	lasting := time.Duration(*huntSeconds) * time.Second
	for seed := *huntFirst; seed < *huntFirst+uint64(*huntSeeds); seed++ {
		for _, c := range []struct {
			name       string
			ttl, quiet time.Duration
			rates      float64
			trims      bool
		}{
			{"lease 0.5s", 500 * time.Millisecond, 300 * time.Millisecond, 0, true},
			{"rates", 500 * time.Millisecond, 300 * time.Millisecond, 0.02, true},
			{"quiet 0", 500 * time.Millisecond, 0, 0, true},
			{"no trims", 800 * time.Millisecond, 600 * time.Millisecond, 0, false},
		} {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				h := &hunt{t: t, ttl: c.ttl, quiet: c.quiet}
				h.run(seed, lasting, c.rates, c.trims)
				tolerance := time.Duration(2*c.rates*float64(c.quiet+arrivalTime)) + time.Millisecond
				worst := h.check(tolerance)
				t.Logf("%d orders, %d terms with a lease, least gap of two machines %s", len(h.arrivals), len(h.valid), worst)
			})
		}
	}
}
