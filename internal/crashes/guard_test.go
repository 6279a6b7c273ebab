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

// cluster holds the guards of several nodes that share a log, in a synctest bubble.
type cluster struct {
	t      *testing.T
	log    *memlog.Log
	guards []*Guard
}

// runCluster runs a test with the given number of nodes.
func runCluster(t *testing.T, nodes int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, log: memlog.New()}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range nodes {
			guard, follower := c.addNode()
			group.Go(func() { _ = follower.Run(ctx) })
			group.Go(func() { _ = guard.Run(ctx) })
		}
		c.settle()
		test(c)
		cancel()
		group.Wait()
	})
}

// addNode adds a guard and returns it with the follower of its topic.
func (c *cluster) addNode() (*Guard, *follow.Follower) {
	guard := NewGuard(GuardOptions{
		Detector: newTestDetector(&fakeProber{answer: Ended}, engineAt("a", "a:1"), engineAt("b", "b:1"), engineAt("c", "c:1")),
		Log:      c.log, Topic: topic, Logger: zerolog.Nop(), OnRequestCount: func(int) {},
		OnUnwritten: func(_ context.Context, records []eventlog.KeyedRecord) {
			for _, other := range c.guards {
				for _, record := range records {
					other.applyFromPeer(record)
				}
			}
		},
	})
	c.guards = append(c.guards, guard)
	return guard, follow.New(c.log, topic, guard.HandleRecord, pacing.Budget{}, zerolog.Nop())
}

// settle waits for 3 s and until all goroutines are idle.
func (c *cluster) settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

func fingerprint() quarantine.Fingerprint { return crashingFingerprint }

// observeCrash makes a node observe the crash of an engine during the request.
func (c *cluster) observeCrash(node int, engine string) {
	c.t.Helper()
	crashed := c.guards[node].ConnectionLost(c.t.Context(), LostConnection{
		Engine: fleet.Engine{ID: engine, Service: "s", Address: engine + ":1"}, Fingerprint: crashingFingerprint,
	})
	assert.Assert(c.t, crashed)
}

// assertQuarantined checks on each node whether the request is quarantined.
func (c *cluster) assertQuarantined(held bool) {
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

func TestCrashesOnTwoNodesQuarantineRequestOnAllNodes(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.observeCrash(0, "a")
		c.settle()
		c.assertQuarantined(false)
		c.observeCrash(1, "b")
		c.settle()
		c.assertQuarantined(true)
	})
}

// TestStartingNodeLoadsQuarantine checks that a quarantine survives restarts.
func TestStartingNodeLoadsQuarantine(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		c.settle()
		guard, follower := c.addNode()
		ctx, cancel := context.WithCancel(c.t.Context())
		defer cancel()
		go func() { _ = follower.Run(ctx) }()
		<-follower.Loaded()
		assert.Assert(c.t, guard.Admit(c.t.Context(), fingerprint) != nil)
		cancel()
		synctest.Wait()
	})
}

func TestCrashesReachPeersDuringLogOutage(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		c.observeCrash(0, "a")
		c.observeCrash(1, "b")
		c.settle()
		c.assertQuarantined(true)
		c.log.SetFault(nil)
		c.settle()
		c.assertQuarantined(true)
		assert.Equal(c.t, c.log.End(eventlog.Partition{Topic: topic}), int64(2), "each record once")
	})
}

// TestDeletionsReachPeersDuringLogOutage: deletions are sent to the peers that received the records.
func TestDeletionsReachPeersDuringLogOutage(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		c.settle()
		c.assertQuarantined(true)
		c.guards[0].Answered(fingerprint)
		c.settle()
		c.assertQuarantined(false)
		c.log.SetFault(nil)
		c.settle()
	})
}

// TestPeerRecordIsWrittenAfterItsNodeEnded: the node that observed the crashes stops during an outage of the log.
func TestPeerRecordIsWrittenAfterItsNodeEnded(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		for _, engine := range []string{"a", "b"} {
			record, err := encode(quarantine.Record{Fingerprint: crashingFingerprint, Engine: engine, Live: true, At: time.Now()})
			assert.NilError(c.t, err)
			c.guards[0].applyFromPeer(record)
		}
		time.Sleep(peerWriteDelay + peerWriteJitter + maintenanceInterval)
		c.log.SetFault(nil)
		c.settle()
		c.assertQuarantined(true)
	})
}

// TestWritesWithUnknownOutcomeCountOnce: writes take effect, at once or late, but report an unknown outcome.
func TestWritesWithUnknownOutcomeCountOnce(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"lost": memlog.LostResponse, "late": memlog.DelayedEffect} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, func(c *cluster) {
				c.log.SetFault(func(call memlog.Call) memlog.Fault {
					if call.Append {
						return fault
					}
					return memlog.None
				})
				c.observeCrash(0, "a")
				c.observeCrash(0, "b")
				c.settle()
				c.log.SetFault(nil)
				c.log.ReleaseDelayed()
				c.settle()
				c.assertQuarantined(true)
				status := c.guards[1].Status(fingerprint)
				assert.Equal(c.t, status.Crashes, 2)
			})
		})
	}
}

func TestAnswerClearsRequestOnAllNodes(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.observeCrash(0, "a")
		c.observeCrash(1, "b")
		c.settle()
		c.guards[2].Answered(fingerprint)
		c.settle()
		c.assertQuarantined(false)
		for _, guard := range c.guards {
			assert.Equal(c.t, guard.requestCount.Load(), int64(0))
		}
	})
}

// TestTrialIsGrantedToOneNode: after the quarantine, all nodes receive the request concurrently and repeatedly.
func TestTrialIsGrantedToOneNode(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
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
		// Another crash extends the quarantine.
		c.observeCrash(1, "c")
		c.settle()
		c.assertQuarantined(true)
		assert.Equal(c.t, c.guards[4].Status(fingerprint).Crashes, 3)
	})
}

// TestNoTrialDuringLogOutage: without the log, a node cannot know whether another one claimed the trial.
func TestNoTrialDuringLogOutage(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{
		"refused": memlog.Refused, "lost": memlog.LostResponse, "late": memlog.DelayedEffect,
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, func(c *cluster) {
				c.observeCrash(0, "a")
				c.observeCrash(0, "b")
				c.settle()
				time.Sleep(time.Minute)
				c.log.SetFault(func(memlog.Call) memlog.Fault { return fault })
				c.assertQuarantined(true)
				c.log.SetFault(nil)
				c.log.ReleaseDelayed()
				c.settle()
			})
		})
	}
}

// unresponsiveLog blocks writes until their context ends.
type unresponsiveLog struct{}

func (unresponsiveLog) PutKeyed(ctx context.Context, _ string, _ []eventlog.KeyedRecord) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestWriterShutdownWithUnresponsiveLog guards against a last write that outlasts the 350 ms (hosted.minTaskTime) that
// a stopping node leaves for it.
func TestWriterShutdownWithUnresponsiveLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := newWriter(unresponsiveLog{}, topic, func(context.Context, []eventlog.KeyedRecord) {}, zerolog.Nop())
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

func TestSweepDeletesExpiredRecords(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		c.observeCrash(0, "a")
		c.settle()
		c.guards[1].sweep(time.Now().Add(2 * time.Hour))
		c.settle()
		newest, err := c.log.Newest(c.t.Context(), topic)
		assert.NilError(c.t, err)
		assert.Equal(c.t, len(newest.Records), 0)
		assert.Equal(c.t, c.guards[0].requestCount.Load(), int64(0))
	})
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		c.log.Put(topic, "no record", []byte("x"))
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		c.settle()
		c.assertQuarantined(true)
	})
}

// BenchmarkAdmit admits a request with a 1 KiB body while none or 100 others are quarantined.
func BenchmarkAdmit(b *testing.B) {
	for _, held := range []int{0, 100} {
		b.Run(fmt.Sprintf("held-%d", held), func(b *testing.B) {
			guard := NewGuard(GuardOptions{
				Detector: newTestDetector(&fakeProber{}), Log: memlog.New(), Topic: topic, Logger: zerolog.Nop(),
				OnRequestCount: func(int) {},
			})
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
