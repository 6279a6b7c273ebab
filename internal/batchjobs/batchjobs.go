// Package batchjobs stores batch jobs in the log: it accepts them, returns their
// results and bodies, and ends them. A node starts to read an index partition with the
// first request for a job there, or once it leads; texts and bodies are read from the
// log on request.
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
	// recordOverhead is the framing of a record, in bytes.
	recordOverhead = 8
	forgetPeriod   = 5 * time.Second
)

// Options are the settings of batch jobs.
type Options struct {
	// Partitions is the number of partitions. It must be the same on all nodes and never change.
	Partitions int
	// RecordBytes and CallBytes are the log's limits.
	RecordBytes int
	CallBytes   int
	// KeepJobs is how long a closed job can be read after its record was first read.
	KeepJobs time.Duration
	// Budget bounds the log reads of all nodes together.
	Budget pacing.Budget
	// Hold, if set, reserves memory for bytes that are about to be read for a caller. Its error is
	// returned to the caller.
	Hold   func(bytes int) (release func(), err error)
	Logger zerolog.Logger
}

// Service serves batch jobs.
type Service struct {
	log        eventlog.Log
	options    Options
	partitions []*partition
}

// New returns a service; Run reads the index.
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

// Observe notifies the observer of all open jobs and of changes, until Unobserve. An observer that is
// already registered is notified of all open jobs again.
func (s *Service) Observe(observer batch.Observer) {
	for _, each := range s.partitions {
		each.observe(observer)
	}
}

// Unobserve unregisters the observer.
func (s *Service) Unobserve(observer batch.Observer) {
	for _, each := range s.partitions {
		each.unobserve(observer)
	}
}

// Knows reports whether a job was accepted, as of the call.
func (s *Service) Knows(ctx context.Context, jobID string) (bool, error) {
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

// Accept stores a job. A nil error means that the job is durable, by this call or
// an earlier one. An error of a kind that says "not executed" means that this call
// has not written a record of the job and never will.
func (s *Service) Accept(ctx context.Context, submission Submission) error {
	target := s.partitionOf(submission.Job.ID)
	if target.isKnown(submission.Job.ID) {
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

// earlier returns the known jobs of steps before the given job's.
func (s *Service) earlier(than *batch.JobRecord) []batch.EarlierJob {
	var earlier []batch.EarlierJob
	for _, each := range s.partitions {
		earlier = append(earlier, each.earlier(than)...)
	}
	return earlier
}

// writePayloads writes the payloads in as many calls as the log's limits require.
// They have no effect until the job's record references them.
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

// End ends a job. A nil error means that the end is durable.
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

// unavailable converts a failure of the log to the error of a query.
func unavailable(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	return errkind.New(errkind.LogUnavailable, "%s", err.Error())
}
