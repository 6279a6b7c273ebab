package crashes

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

const topic = "keyed.crashes"

// cluster is the guards of some nodes on one log, in a synctest bubble.
type cluster struct {
	t      *testing.T
	log    *memlog.Log
	guards []*Guard
}

// inCluster runs a test with the given number of nodes.
func inCluster(t *testing.T, nodes int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, log: memlog.New()}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range nodes {
			guard, follower := c.node()
			group.Go(func() { _ = follower.Run(ctx) })
			group.Go(func() { _ = guard.Run(ctx) })
		}
		c.settle()
		test(c)
		cancel()
		group.Wait()
	})
}

// node adds a guard and the follower of its topic.
func (c *cluster) node() (*Guard, *follow.Follower) {
	guard := NewGuard(GuardOptions{
		Watch: watchOf(&fakeProber{answer: Ended}, engineAt("a", "a:1"), engineAt("b", "b:1"), engineAt("c", "c:1")),
		Log:   c.log, Topic: topic, Logger: zerolog.Nop(), Observe: func(int) {},
		Unwritten: func(_ context.Context, records []eventlog.KeyedRecord) {
			for _, other := range c.guards {
				for _, record := range records {
					other.applyFromPeer(record)
				}
			}
		},
	})
	c.guards = append(c.guards, guard)
	return guard, follow.New(c.log, topic, guard.Take, pacing.Budget{}, zerolog.Nop())
}

// settle waits until all effects within some seconds have happened.
func (c *cluster) settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

func fingerprint() quarantine.Fingerprint { return crashing }

// lose makes a node observe the end of an engine under the request.
func (c *cluster) lose(node int, engine string) {
	c.t.Helper()
	crashed := c.guards[node].ConnectionLost(c.t.Context(), Loss{
		Engine: fleet.Engine{ID: engine, Service: "s", Address: engine + ":1"}, Fingerprint: crashing,
	})
	assert.Assert(c.t, crashed)
}

// assertHeld checks at each node whether the request is quarantined.
func (c *cluster) assertHeld(held bool) {
	c.t.Helper()
	for i, guard := range c.guards {
		failure := guard.Admit(c.t.Context(), fingerprint)
		assert.Equal(c.t, failure != nil, held, "node %d: %v", i, failure)
		if held {
			assert.Equal(c.t, failure.Kind, errkind.Quarantined)
			assert.Assert(c.t, failure.Delay() > 0)
		}
	}
}

func TestEndsSeenByTwoNodesHoldTheRequestAtAllNodes(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.lose(0, "a")
		c.settle()
		c.assertHeld(false)
		c.lose(1, "b")
		c.settle()
		c.assertHeld(true)
	})
}

// TestANodeThatStartsKnowsWhatOthersSaw: also after a restart of all nodes.
func TestANodeThatStartsKnowsWhatOthersSaw(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		guard, follower := c.node()
		ctx, cancel := context.WithCancel(c.t.Context())
		defer cancel()
		go func() { _ = follower.Run(ctx) }()
		<-follower.Loaded()
		assert.Assert(c.t, guard.Admit(c.t.Context(), fingerprint) != nil)
		cancel()
		synctest.Wait()
	})
}

func TestNodesTellEachOtherWhileTheLogIsAway(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		c.lose(0, "a")
		c.lose(1, "b")
		c.settle()
		c.assertHeld(true)
		c.log.SetFault(nil)
		c.settle()
		c.assertHeld(true)
		assert.Equal(c.t, c.log.End(eventlog.Partition{Topic: topic}), int64(2), "each record once")
	})
}

// TestNodesTellEachOtherOfAnAnswerWhileTheLogIsAway: the deletion of records that were sent to
// peers is sent to them as well.
func TestNodesTellEachOtherOfAnAnswerWhileTheLogIsAway(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		c.assertHeld(true)
		c.guards[0].Answered(fingerprint)
		c.settle()
		c.assertHeld(false)
		c.log.SetFault(nil)
		c.settle()
	})
}

// TestWhatAnotherNodeToldOfReachesTheLogAlthoughItEnded: the node that observed the ends stops
// during an outage of the log.
func TestWhatAnotherNodeToldOfReachesTheLogAlthoughItEnded(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		for _, engine := range []string{"a", "b"} {
			record, err := encode(quarantine.Record{Fingerprint: crashing, Engine: engine, At: time.Now()})
			assert.NilError(c.t, err)
			c.guards[0].applyFromPeer(record)
		}
		time.Sleep(adoptAfter + adoptSpread + adoptPeriod)
		c.log.SetFault(nil)
		c.settle()
		c.assertHeld(true)
	})
}

// TestLostAndLateAnswersOfTheLogChangeNothing: each write takes effect and reports an unknown outcome.
func TestLostAndLateAnswersOfTheLogChangeNothing(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"lost": memlog.LostAnswer, "late": memlog.LateEffect} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 2, func(c *cluster) {
				c.log.SetFault(func(call memlog.Call) memlog.Fault {
					if call.Append {
						return fault
					}
					return memlog.None
				})
				c.lose(0, "a")
				c.lose(0, "b")
				c.settle()
				c.log.SetFault(nil)
				c.log.Release()
				c.settle()
				c.assertHeld(true)
				standing := c.guards[1].Standing(fingerprint)
				assert.Equal(c.t, standing.Crashes, 2)
			})
		})
	}
}

func TestAnAnswerClearsTheRequestAtAllNodes(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.lose(0, "a")
		c.lose(1, "b")
		c.settle()
		c.guards[2].Answered(fingerprint)
		c.settle()
		c.assertHeld(false)
		for _, guard := range c.guards {
			assert.Equal(c.t, guard.known.Load(), int64(0))
		}
	})
}

// TestOneNodeIsGrantedATrial: after the hold, all nodes receive the request concurrently and
// repeatedly.
func TestOneNodeIsGrantedATrial(t *testing.T) {
	inCluster(t, 5, func(c *cluster) {
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		time.Sleep(time.Minute)
		var admitted atomic.Int64
		for range 4 {
			var group sync.WaitGroup
			for _, guard := range c.guards {
				for range 3 {
					group.Go(func() {
						if guard.Admit(c.t.Context(), fingerprint) == nil {
							admitted.Add(1)
						}
					})
				}
			}
			group.Wait()
			c.settle()
		}
		assert.Equal(c.t, admitted.Load(), int64(1))
		// It ends one engine more, and the request is held for longer.
		c.lose(1, "c")
		c.settle()
		c.assertHeld(true)
		assert.Equal(c.t, c.guards[4].Standing(fingerprint).Crashes, 3)
	})
}

// TestNoTrialWithoutTheLog: no node can know whether it is the only one.
func TestNoTrialWithoutTheLog(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{
		"refused": memlog.Refused, "lost": memlog.LostAnswer, "late": memlog.LateEffect,
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 2, func(c *cluster) {
				c.lose(0, "a")
				c.lose(0, "b")
				c.settle()
				time.Sleep(time.Minute)
				c.log.SetFault(func(memlog.Call) memlog.Fault { return fault })
				c.assertHeld(true)
				c.log.SetFault(nil)
				c.log.Release()
				c.settle()
			})
		})
	}
}

// silentLog never answers.
type silentLog struct{}

func (silentLog) PutKeyed(ctx context.Context, _ string, _ []eventlog.KeyedRecord) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestANodeThatStopsDoesNotWaitForASilentLog: roles have 350 ms to end.
func TestANodeThatStopsDoesNotWaitForASilentLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := newWriter(silentLog{}, topic, func(context.Context, []eventlog.KeyedRecord) {}, zerolog.Nop())
		writer.add(eventlog.KeyedRecord{Key: "k", Value: []byte("v")})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			writer.run(ctx)
		}()
		time.Sleep(10 * time.Second)
		stopped := time.Now()
		cancel()
		<-ended
		assert.Assert(t, time.Since(stopped) < 350*time.Millisecond, "%s", time.Since(stopped))
	})
}

func TestWhatIsOldIsTakenOutOfTheLog(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		c.lose(0, "a")
		c.settle()
		c.guards[1].sweep(time.Now().Add(2 * time.Hour))
		c.settle()
		newest, err := c.log.Newest(c.t.Context(), topic)
		assert.NilError(c.t, err)
		assert.Equal(c.t, len(newest.Records), 0)
		assert.Equal(c.t, c.guards[0].known.Load(), int64(0))
	})
}

func TestRecordsThatCannotBeReadArePassedOver(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.log.Put(topic, "no record", []byte("x"))
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		c.assertHeld(true)
	})
}

// BenchmarkAdmit admits a request of a kilobyte while others are quarantined.
func BenchmarkAdmit(b *testing.B) {
	for _, held := range []int{0, 100} {
		b.Run(fmt.Sprintf("held-%d", held), func(b *testing.B) {
			guard := NewGuard(GuardOptions{Watch: watchOf(&fakeProber{}), Log: memlog.New(), Topic: topic, Logger: zerolog.Nop(), Observe: func(int) {}})
			for i := range held {
				other := quarantine.Request{Target: fmt.Sprint(i)}.Fingerprint()
				guard.put(quarantine.Record{Fingerprint: other, Engine: "e", At: time.Now()}, "test")
			}
			body := make([]byte, 1<<10)
			request := func() quarantine.Fingerprint { return quarantine.Request{Target: "/x", Body: body}.Fingerprint() }
			b.ReportAllocs()
			for b.Loop() {
				if failure := guard.Admit(b.Context(), request); failure != nil {
					b.Fatal(failure)
				}
			}
		})
	}
}
