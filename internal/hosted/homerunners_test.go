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

// slowEnd is how long a roleLog's role goes on after it was told to end: longer than a node takes to
// read a lease.
const slowEnd = 300 * time.Millisecond

// roleLog notes the terms in which a role ran.
type roleLog struct {
	mu      sync.Mutex
	epochs  []int64
	running int
	most    int
	// told counts the terms that were told to end.
	told int
}

func (r *roleLog) run(ctx context.Context, term leadership.Term, _ homes.Set) {
	r.mu.Lock()
	r.epochs = append(r.epochs, term.Epoch)
	r.running++
	r.most = max(r.most, r.running)
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	r.told++
	r.mu.Unlock()
	time.Sleep(slowEnd)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
}

func (r *roleLog) counts() (began, told int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.epochs), r.told
}

// TestASetThatIsNamedAgainBeginsANewTerm: two runners of one term would name what they keep alike.
func TestASetThatIsNamedAgainBeginsANewTerm(t *testing.T) {
	n := &node{
		state: newState(0), log: memlog.New(), logger: zerolog.Nop(), metrics: newMetrics(prometheus.NewRegistry()),
		holder: "a-1",
	}
	n.config.Node.ID, n.config.Node.Region = "a", "north"
	n.config.Hosted.Lease = settings.Duration(600 * time.Millisecond)
	n.directory = logrelay.NewDirectory(n.log, logrelay.Self{Node: "a", Region: "north"}, pacing.Limits{}, n.logger)
	n.coverage.read(nil)
	ran := &roleLog{}
	runners := newHomeRunners(n)
	runners.role = ran.run
	version := int64(0)
	put := func(regions ...string) {
		version++
		n.state.setTable(routes.NewTable(routes.Definition{
			Version: version, Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/x/", Kind: routes.Batch, Homes: regions}},
		}))
		runners.TableChanged()
	}
	put("north")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- runners.Run(ctx) }()
	testwait.Until(t, "the role runs", func() bool { began, _ := ran.counts(); return began == 1 })
	put()
	testwait.Until(t, "the role is told to end", func() bool { _, told := ran.counts(); return told == 1 })
	put("north")
	testwait.Until(t, "the role runs again", func() bool { began, _ := ran.counts(); return began == 2 })
	cancel()
	assert.NilError(t, <-ended)
	assert.Equal(t, ran.most, 1, "two run at one time")
	assert.Assert(t, ran.epochs[1] > ran.epochs[0], "epochs %v", ran.epochs)
}
