package hosted

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/leadership"
	"github.com/corkpulley/corkpulley/internal/logrelay"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// roleEndDelay is how long a recorded role continues after its context has ended: longer than a node needs to read
// a lease.
const roleEndDelay = 300 * time.Millisecond

// roleRecorder records the terms in which a role ran.
type roleRecorder struct {
	mu         sync.Mutex
	epochs     []int64
	running    int
	maxRunning int
	// canceled is the number of terms whose context has ended.
	canceled int
}

func (r *roleRecorder) run(ctx context.Context, term leadership.Term, _ homes.Set) {
	r.mu.Lock()
	r.epochs = append(r.epochs, term.Epoch)
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	r.canceled++
	r.mu.Unlock()
	time.Sleep(roleEndDelay)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
}

func (r *roleRecorder) counts() (began, canceled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.epochs), r.canceled
}

// Guards against two runners in one term, whose records could not be told apart.
func TestRemovedAndReaddedSetStartsNewTerm(t *testing.T) {
	n := &node{
		state: newState(0), log: memlog.New(), logger: zerolog.Nop(), metrics: newMetrics(prometheus.NewRegistry()),
		holder: "a-1",
	}
	n.config.Node.ID, n.config.Node.Region = "a", "north"
	n.config.Hosted.Lease = settings.Duration(600 * time.Millisecond)
	n.directory = logrelay.NewDirectory(n.log, logrelay.NodeInfo{Node: "a", Region: "north"}, pacing.Limits{}, n.logger)
	n.coverage.recordRead(nil)
	recorder := &roleRecorder{}
	elections := newRegionElections(n)
	elections.role = recorder.run
	version := int64(0)
	put := func(regions ...string) {
		version++
		n.state.setTable(routes.NewTable(routes.Definition{
			Version: version, Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/x/", Kind: routes.Batch, Homes: regions}},
		}))
		elections.NotifyTableChanged()
	}
	put("north")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- elections.Run(ctx) }()
	testwait.Until(t, "the role runs", func() bool { began, _ := recorder.counts(); return began == 1 })
	put()
	testwait.Until(t, "the role is canceled", func() bool { _, canceled := recorder.counts(); return canceled == 1 })
	put("north")
	testwait.Until(t, "the role runs again", func() bool { began, _ := recorder.counts(); return began == 2 })
	cancel()
	assert.NilError(t, <-ended)
	assert.Equal(t, recorder.maxRunning, 1, "two roles ran at the same time")
	assert.Assert(t, recorder.epochs[1] > recorder.epochs[0], "epochs %v", recorder.epochs)
}
