// Package batchjobs keeps batch jobs in the log: it accepts them, tells their
// results and bodies, and ends them. A node reads an index partition once it is
// asked for a job there, or leads; a text or a body is read from the log when it
// is asked for.
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

// Topics of the log.
const (
	indexTopic = "corkpulley.jobs"
	dataTopic  = "corkpulley.data"
)

const (
	// readLimit bounds one read of records.
	readLimit = 512 << 10
	// bodyReadLimit bounds the read of one body, of which one record is enough.
	bodyReadLimit = 4 << 10
	// maxResultBytes bounds the texts of one answer.
	maxResultBytes = 900 << 10
	// recordOverhead is what a record takes beside its bytes.
	recordOverhead = 8
	forgetPeriod   = 5 * time.Second
)

// Options are the settings of batch jobs.
type Options struct {
	// Partitions is the number of partitions; the same on all nodes, for good.
	Partitions int
	// RecordBytes and CallBytes are the log's limits.
	RecordBytes int
	CallBytes   int
	// KeepJobs is how long a job can be read after it was read first.
	KeepJobs time.Duration
	// Budget is what all nodes together may read of the log.
	Budget pacing.Budget
	// Hold, if set, holds memory of the node for bytes that are about to be read for a reader, or returns the
	// error that the reader is told.
	Hold   func(bytes int) (release func(), err error)
	Logger zerolog.Logger
}

// Service serves batch jobs.
type Service struct {
	log        eventlog.Log
	options    Options
	partitions []*partition
}

// New returns a service; Run reads the log.
func New(log eventlog.Log, options Options) *Service {
	if options.Hold == nil {
		options.Hold = func(int) (func(), error) { return func() {}, nil }
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
	for _, each := range s.partitions {
		group.Go(func() error {
			each.tail(ctx)
			return nil
		})
	}
	group.Go(func() error {
		s.forgetOld(ctx)
		return nil
	})
	return group.Wait()
}

func (s *Service) forgetOld(ctx context.Context) {
	ticker := time.NewTicker(forgetPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, each := range s.partitions {
			each.forget(time.Now().Add(-s.options.KeepJobs))
		}
	}
}

func (s *Service) partitionOf(jobID string) *partition {
	return s.partitions[xxhash.Sum64String(jobID)%uint64(len(s.partitions))]
}

// Observe tells the observer of all open jobs and of what changes, until Unobserve. One that observes
// already is told of all open jobs again.
func (s *Service) Observe(observer batch.Observer) {
	for _, each := range s.partitions {
		each.observe(observer)
	}
}

// Unobserve tells the observer nothing more.
func (s *Service) Unobserve(observer batch.Observer) {
	for _, each := range s.partitions {
		each.unobserve(observer)
	}
}

// Knows tells whether a job was accepted, as of now.
func (s *Service) Knows(ctx context.Context, jobID string) (bool, error) {
	_, err := s.partitionOf(jobID).lookUp(ctx, jobID)
	if errkind.Is(err, errkind.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// Submission is a batch job as it is handed in.
type Submission struct {
	Job      batch.JobRecord
	Payloads []batch.Payload
}

// Accept keeps a job. A nil error means that it is kept for good, whether by
// this call or an earlier one. An error of a kind that says "not executed"
// means that no record of the job was or will be written by this call.
func (s *Service) Accept(ctx context.Context, submission Submission) error {
	target := s.partitionOf(submission.Job.ID)
	if target.has(submission.Job.ID) {
		return nil
	}
	spans, err := s.writePayloads(ctx, target.data(submission.Job.Homes), submission.Payloads)
	if err != nil {
		return err
	}
	submission.Job.Payloads = spans
	submission.Job.CountReturned(s.earlier(&submission.Job))
	return s.appendIndex(ctx, target, batch.Record{Job: &submission.Job})
}

// earlier returns the jobs of steps before the job that this node knows.
func (s *Service) earlier(than *batch.JobRecord) []batch.EarlierJob {
	var earlier []batch.EarlierJob
	for _, each := range s.partitions {
		earlier = append(earlier, each.earlier(than)...)
	}
	return earlier
}

// writePayloads writes the payloads in as many calls as the log's limit wants.
// They mean nothing until the job's record names them.
func (s *Service) writePayloads(
	ctx context.Context, data eventlog.Partition, payloads []batch.Payload,
) ([]batch.Span, error) {
	var spans []batch.Span
	var records [][]byte
	size := 0
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		first, err := s.appendData(ctx, data, records)
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
		if len(raw) > s.options.RecordBytes {
			return nil, errkind.New(errkind.PayloadTooLarge, "an item of %d bytes, at most %d", len(raw), s.options.RecordBytes)
		}
		if size+len(raw)+recordOverhead > s.options.CallBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		records = append(records, raw)
		size += len(raw) + recordOverhead
	}
	return spans, flush()
}

// End ends a job. A nil error means that it is ended for good.
func (s *Service) End(ctx context.Context, jobID string) error {
	target := s.partitionOf(jobID)
	known, err := target.lookUp(ctx, jobID)
	if err != nil {
		return err
	}
	if known.Ended {
		return nil
	}
	return s.appendIndex(ctx, target, batch.Record{End: jobID})
}

// unavailable turns a failure of the log into the error of a read.
func unavailable(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	return errkind.New(errkind.LogUnavailable, "%s", err.Error())
}
