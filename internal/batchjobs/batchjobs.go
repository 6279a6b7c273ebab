// Package batchjobs stores batch jobs in the event log: it accepts and ends jobs, records the results of
// their items and serves results and request bodies. A node reads an index partition only after the first
// query or observer for it; result texts and bodies are read from the log on demand.
package batchjobs

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// Log topics.
const (
	indexTopic = "corkpulley.jobs"
	dataTopic  = "corkpulley.data"
)

const (
	// readLimitBytes bounds one read of a data partition.
	readLimitBytes = 512 << 10
	// bodyReadLimitBytes bounds one read for a single body, which is one record.
	bodyReadLimitBytes = 4 << 10
	// maxResultBytes bounds the texts of one query response.
	maxResultBytes = 900 << 10
	// recordOverheadBytes is the framing of a record.
	recordOverheadBytes = 8
	expireInterval      = 5 * time.Second
)

// Options configures a Service.
type Options struct {
	// Partitions is the number of partitions. It must be the same on all nodes and must never change.
	Partitions int
	// MaxRecordBytes and MaxAppendBytes are the log's limits for one record and one append.
	MaxRecordBytes int
	MaxAppendBytes int
	// JobRetention is the retention period of a closed job, from the time at which this node first read its record.
	JobRetention time.Duration
	// Budget bounds the rate of log reads of all nodes together.
	Budget pacing.Budget
	// ReserveMemory, if set, reserves memory for bytes that are about to be read for a caller. Its error is returned to
	// the caller.
	ReserveMemory func(bytes int) (release func(), err error)
	Logger        zerolog.Logger
}

// Service stores and serves batch jobs. It is safe for concurrent use.
type Service struct {
	log        eventlog.Log
	options    Options
	partitions []*partition
}

// New returns a service. Run must be called to read the index.
func New(log eventlog.Log, options Options) *Service {
	if options.ReserveMemory == nil {
		options.ReserveMemory = func(int) (func(), error) { return func() {}, nil }
	}
	s := &Service{log: log, options: options}
	for number := range options.Partitions {
		s.partitions = append(s.partitions, newPartition(log, number, options))
	}
	return s
}

// Run reads the index until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, p := range s.partitions {
		group.Go(func() error {
			p.tail(ctx)
			return nil
		})
	}
	group.Go(func() error {
		s.expireJobs(ctx)
		return nil
	})
	return group.Wait()
}

func (s *Service) expireJobs(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range s.partitions {
			p.expire(time.Now().Add(-s.options.JobRetention))
		}
	}
}

func (s *Service) partitionOf(jobID string) *partition {
	return s.partitions[xxhash.Sum64String(jobID)%uint64(len(s.partitions))]
}

// Observe notifies the observer of all open jobs and then of changes, until Unobserve. An observer that is
// already registered is notified of all open jobs again.
func (s *Service) Observe(observer batch.Observer) {
	for _, p := range s.partitions {
		p.observe(observer)
	}
}

func (s *Service) Unobserve(observer batch.Observer) {
	for _, p := range s.partitions {
		p.unobserve(observer)
	}
}

// Exists reports whether a job had been accepted at the time of the call.
func (s *Service) Exists(ctx context.Context, jobID string) (bool, error) {
	_, err := s.partitionOf(jobID).lookUp(ctx, jobID)
	if errkind.Is(err, errkind.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// Submission is a batch job as submitted.
type Submission struct {
	Job      batch.JobRecord
	Payloads []batch.Payload
}

// Accept stores a job. A nil error means that the job is durable, through this call or an earlier one. An
// error of a kind that means "not executed" guarantees that this call has not written and will not write a
// record of the job.
func (s *Service) Accept(ctx context.Context, submission Submission) error {
	target := s.partitionOf(submission.Job.ID)
	if target.isKnown(submission.Job.ID) {
		return nil
	}
	spans, err := s.writePayloads(ctx, target.dataPartition(submission.Job.Homes), submission.Payloads)
	if err != nil {
		return err
	}
	submission.Job.Payloads = spans
	submission.Job.CountCarriedOver(s.earlierJobs(&submission.Job))
	submission.Job.AcceptedMs = time.Now().UnixMilli()
	return s.appendIndex(ctx, target, batch.Record{Job: &submission.Job})
}

// earlierJobs returns the known jobs of earlier steps than the given job's.
func (s *Service) earlierJobs(job *batch.JobRecord) []batch.EarlierJob {
	var earlierJobs []batch.EarlierJob
	for _, p := range s.partitions {
		earlierJobs = append(earlierJobs, p.earlierJobs(job)...)
	}
	return earlierJobs
}

// writePayloads writes the payloads in as many appends as the log's limits require. They have no effect until
// the job's record references them.
func (s *Service) writePayloads(
	ctx context.Context, dataPartition eventlog.Partition, payloads []batch.Payload,
) ([]batch.Span, error) {
	var spans []batch.Span
	var records [][]byte
	size := 0
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		first, err := s.appendData(ctx, dataPartition, records)
		if err != nil {
			return err
		}
		spans = append(spans, batch.Span{First: first, Count: len(records)})
		records, size = nil, 0
		return nil
	}
	for _, payload := range payloads {
		raw, err := payload.Encode()
		if err != nil {
			return nil, err
		}
		if len(raw) > s.options.MaxRecordBytes {
			return nil, errkind.New(errkind.PayloadTooLarge,
				"item of %d bytes exceeds the limit of %d bytes", len(raw), s.options.MaxRecordBytes)
		}
		if size+len(raw)+recordOverheadBytes > s.options.MaxAppendBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		records = append(records, raw)
		size += len(raw) + recordOverheadBytes
	}
	return spans, flush()
}

// End ends a job. A nil error means that the end is durable.
func (s *Service) End(ctx context.Context, jobID string) error {
	target := s.partitionOf(jobID)
	job, err := target.lookUp(ctx, jobID)
	if err != nil {
		return err
	}
	if job.Ended {
		return nil
	}
	return s.appendIndex(ctx, target, batch.Record{End: jobID})
}

// unavailable converts a log error to a LogUnavailable error, unless it already has a kind.
func unavailable(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	return errkind.New(errkind.LogUnavailable, "%s", err.Error())
}
