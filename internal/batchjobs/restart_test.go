package batchjobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/standin/throttledlog"
)

// logBytesPerSecond is the read bandwidth of the log.
const logBytesPerSecond = 80_000_000

// jobInEachPartition accepts a job in each partition and returns their IDs.
func jobInEachPartition(t *testing.T, service *Service, partitions int) []string {
	t.Helper()
	ids := make([]string, partitions)
	for candidate, left := 0, partitions; left > 0; candidate++ {
		id := fmt.Sprintf("job-%d", candidate)
		number := service.PartitionOf(id)
		if ids[number] != "" {
			continue
		}
		ids[number] = id
		left--
		job := batch.JobRecord{ID: id, Items: []batch.ItemRecord{{ID: "i"}}}
		assert.NilError(t, service.Accept(t.Context(), Submission{Job: job, Payloads: []batch.Payload{{}}}))
	}
	return ids
}

// Guards against index reads so large that all replicas together time out on each of them after a common
// restart.
func TestJobsAreReadableAfterAllReplicasRestart(t *testing.T) {
	const partitions, replicas, indexBytes, recordBytes = 24, 18, 400 << 10, 2 << 10
	synctest.Test(t, func(t *testing.T) {
		backing := memlog.New()
		options := Options{
			Partitions: partitions, MaxRecordBytes: 256 << 10, MaxAppendBytes: 2 << 20,
			JobRetention: 2 * time.Minute, Logger: zerolog.Nop(),
			Budget: pacing.Budget{Limits: pacing.Limits{ReadsPerSecond: 16_000}, Nodes: func() int { return 300 }},
		}
		jobs := jobInEachPartition(t, New(backing, options), partitions)
		for number := range partitions {
			for range indexBytes / recordBytes {
				_, err := backing.Append(t.Context(), eventlog.Partition{Topic: indexTopic, Number: number}, [][]byte{make([]byte, recordBytes)})
				assert.NilError(t, err)
			}
		}
		log := throttledlog.New(backing, logBytesPerSecond)
		ctx, cancel := context.WithCancel(t.Context())
		var running, queries sync.WaitGroup
		for range replicas {
			service := New(log, options)
			running.Go(func() { _ = service.Run(ctx) })
			for _, id := range jobs {
				queries.Go(func() {
					for ctx.Err() == nil {
						if known, err := service.Exists(ctx, id); err == nil && known {
							return
						}
						time.Sleep(time.Second)
					}
				})
			}
		}
		time.AfterFunc(30*time.Second, cancel)
		began := time.Now()
		queries.Wait()
		// Twice the transfer time of the whole index to every replica, plus the pauses between queries.
		limit := 2*time.Duration(replicas*partitions*indexBytes)*time.Second/logBytesPerSecond + 4*time.Second
		assert.Assert(t, time.Since(began) <= limit, "%s, expected %s at most", time.Since(began), limit)
		cancel()
		running.Wait()
	})
}
