package keyed

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// isOpen reports whether the shard of a request has an open stream.
func isOpen(executor *Executor, request Request) bool {
	shard := executor.shards[request.shardIndex(executor.options.Shards)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.stream != nil
}

func TestIdleShardIsClosedAndReopened(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	fixture.shardIdle = time.Millisecond
	node := fixture.startNode(t, "a")
	request := newRequest("permit-1", "salmon")
	for range 3 {
		text, err := execute(ctx, node, request)
		assert.NilError(t, err)
		assert.Equal(t, text, "answer to salmon")
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if isOpen(node, request) {
				return poll.Continue("the shard is open")
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(testTimeout))
	}
	assert.Equal(t, fixture.router.count("salmon"), 1)
}

func TestShardWithExecutionIsNotClosed(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	node := fixture.startNode(t, "a")
	fixture.router.hold = make(chan struct{})
	request := newRequest("permit-1", "salmon")
	var caller sync.WaitGroup
	caller.Go(func() {
		text, err := execute(ctx, node, request)
		assert.Check(t, err == nil, "%v", err)
		assert.Check(t, text == "answer to salmon", "%q", text)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fixture.router.count("salmon") == 0 {
			return poll.Continue("the request is not running yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(testTimeout))
	node.shards[request.shardIndex(node.options.Shards)].closeIdle()
	assert.Check(t, isOpen(node, request))
	close(fixture.router.hold)
	caller.Wait()
}

// TestRequestsRunOnceWhileShardsCloseAndReopen guards against a second run when shards close between requests, also
// while append replies are lost and appends take effect late.
func TestRequestsRunOnceWhileShardsCloseAndReopen(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	fixture.shardIdle = time.Microsecond
	fixture.log.SetControl(standin.Control{LostResponseShare: 0.3, EffectDelayMS: 3})
	nodes := []*Executor{fixture.startNode(t, "a", "b"), fixture.startNode(t, "b", "a")}
	keys := []string{"key-0", "key-1", "key-2"}
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() {
			for _, key := range keys {
				text, err := execute(ctx, nodes[i%2], newRequest(key, key))
				assert.Check(t, err == nil, "%v", err)
				assert.Check(t, text == "answer to "+key, "%q", text)
			}
		})
	}
	callers.Wait()
	for _, key := range keys {
		assert.Equal(t, fixture.router.count(key), 1)
	}
}
